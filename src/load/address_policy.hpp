#pragma once

namespace damaskladder::load {

/// Addresses to which an experiment may send.
enum class address_policy { loopback_only, any };

} // namespace damaskladder::load
