#pragma once

#include "daemon/process_settings.hpp"

namespace damaskladder::daemon {

/// Runs a process as its settings say until SIGTERM or SIGINT, then stops it gracefully: readiness
/// off, announcements withdrawn, running requests finished, leadership handed over. A second signal
/// or the stop limit cuts off what still runs. Fails if it cannot start.
base::result<void> run_process(const process_settings& settings);

} // namespace damaskladder::daemon
