#pragma once

namespace damaskladder::membership {

/// Whether a failure domain is expected to be reachable from this node.
enum class reachability {
    reachable,
    /// No contact with the failure domain for some time; its entries are the last known ones.
    unreachable,
};

} // namespace damaskladder::membership
