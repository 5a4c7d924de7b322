#pragma once

#include "daemon/process_settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::daemon {

/// Decision on a settings file that was read again while the process runs.
struct settings_reload {
    /// Settings to use from now on; nothing if the file is refused as a whole.
    std::optional<process_settings> in_force;
    /// Why the file is refused.
    std::string problem;
    /// Sections whose changes take effect only after a restart.
    std::vector<std::string> pending_restart;
};

/// Decides what of a settings file takes effect in a running process: the addresses of control VMs
/// and the log level. Everything else is bound to open listeners and to state of other threads.
settings_reload reload_settings(const process_settings& running,
                                const process_settings_document& read);

} // namespace damaskladder::daemon
