#pragma once

namespace damaskladder::membership {

/// State of a member. Dead and left are tombstones: final for their incarnation.
enum class member_status {
    alive,
    dead,
    left,
};

} // namespace damaskladder::membership
