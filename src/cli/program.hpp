#pragma once

namespace damaskladder::cli {

/// Runs the sub-command named by the first argument and returns the exit code.
int run_program(int argc, char** argv);

} // namespace damaskladder::cli
