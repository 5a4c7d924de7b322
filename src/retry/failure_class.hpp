#pragma once

#include <cstdint>

namespace damaskladder::retry {

/// What is known about the execution of a failed attempt.
enum class failure_class : std::uint8_t {
    /// Did not run, and another backend server may accept it: the tried one is draining,
    /// unreachable or stopping.
    not_run_elsewhere,
    /// Did not run because capacity was lacking.
    not_run_shed,
    /// May have run.
    may_have_run,
    /// Another attempt would fail in the same way.
    permanent,
};

} // namespace damaskladder::retry
