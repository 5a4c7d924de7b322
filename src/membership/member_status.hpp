#pragma once

namespace damaskladder::membership {

/// State of a member. Records with status dead or left are tombstones, which are final for their
/// incarnation.
enum class member_status {
    alive,
    dead,
    left,
};

} // namespace damaskladder::membership
