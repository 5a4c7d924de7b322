#pragma once

namespace damaskladder::load {

/// Which target addresses an experiment may use.
enum class address_policy { loopback_only, any };

} // namespace damaskladder::load
