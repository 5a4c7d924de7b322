#pragma once

namespace damaskladder::node {

/// Event: time has passed.
struct tick {};

} // namespace damaskladder::node
