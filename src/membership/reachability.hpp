#pragma once

namespace damaskladder::membership {

/// Whether this node can expect to reach a failure domain.
enum class reachability {
    reachable,
    /// Nothing was heard from the failure domain for some time; its entries are the last known.
    unreachable,
};

} // namespace damaskladder::membership
