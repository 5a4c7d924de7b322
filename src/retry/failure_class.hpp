#pragma once

#include <cstdint>

namespace damaskladder::retry {

/// What is known of a failed attempt.
enum class failure_class : std::uint8_t {
    /// Did not run, and another backend server may take it: the tried one drains, cannot be
    /// reached, or stops.
    not_run_elsewhere,
    /// Did not run for lack of capacity.
    not_run_shed,
    /// May have run.
    may_have_run,
    /// Another attempt would end in the same way.
    permanent,
};

} // namespace damaskladder::retry
