#pragma once

namespace damaskladder::consensus {

/// Time passed. Must be passed to the replica at least every replica_options::tick_interval.
struct tick {};

} // namespace damaskladder::consensus
