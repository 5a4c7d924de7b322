#pragma once

namespace damaskladder::membership {

/// Load that a node reports to the fleet. Has few levels because every change is sent to every
/// member of the failure domain; more precise load reports are part of the answers to requests.
enum class load_level {
    normal,
    high,
    full,
};

} // namespace damaskladder::membership
