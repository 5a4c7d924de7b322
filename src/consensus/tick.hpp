#pragma once

namespace damaskladder::consensus {

/// Time passed. Feed one at least every replica_options::tick_interval.
struct tick {};

} // namespace damaskladder::consensus
