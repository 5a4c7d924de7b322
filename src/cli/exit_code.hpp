#pragma once

namespace damaskladder::cli {

/// Exit codes of the program, by kind of failure.
enum class exit_code : int {
    ok = 0,
    /// Anything not listed below.
    failed = 1,
    /// Unknown option, missing argument or malformed input.
    usage = 2,
    /// Settings or a command were checked and refused.
    refused = 3,
    /// The settings have changed since the version named.
    conflict = 4,
    /// Nothing was done, because no control replica could be reached or leads.
    unavailable = 5,
    /// It is not known whether the command was carried out; ask with `damaskladder answer`.
    unknown = 6,
    /// The credential does not permit it.
    permission = 7,
};

} // namespace damaskladder::cli
