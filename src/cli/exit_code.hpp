#pragma once

namespace damaskladder::cli {

/// Exit codes of the program, by kind of failure.
enum class exit_code : int {
    ok = 0,
    /// Any failure not listed below.
    failed = 1,
    /// Unknown option, missing argument or malformed input.
    usage = 2,
    /// Validation rejected the settings or the command.
    refused = 3,
    /// The settings have changed since the version that the command is based on.
    conflict = 4,
    /// The command was not applied: no control replica was reachable, or there was no leader.
    unavailable = 5,
    /// The command may have been applied; query its result with `damaskladder answer`.
    unknown = 6,
    /// The credential does not permit the command.
    permission = 7,
};

} // namespace damaskladder::cli
