#pragma once

namespace damaskladder::membership {

/// Load that a node reports to the fleet. Coarse on purpose: every change reaches every member of
/// the failure domain, and finer feedback travels on the answers to requests.
enum class load_level {
    normal,
    high,
    full,
};

} // namespace damaskladder::membership
