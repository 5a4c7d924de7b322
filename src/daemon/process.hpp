#pragma once

#include "daemon/dialect.hpp"
#include "daemon/process_settings.hpp"
#include "wire/cluster_secret.hpp"

#include <functional>
#include <optional>

namespace damaskladder::daemon {

/// Creates the dialect selected by the settings of a process.
using dialect_maker = std::function<dialect(const process_settings&, const wire::cluster_secret&)>;

/// Reads the settings file again; nothing if it cannot be read.
using settings_reader = std::function<std::optional<process_settings_document>()>;

/// Runs a process with the given settings until SIGTERM or SIGINT, then stops it gracefully. On
/// SIGHUP the settings are read again, see reload_settings(). When stopping, it reports not ready,
/// withdraws its announcements, finishes running requests and transfers leadership. A second signal
/// or the stop limit interrupts requests that still run. Fails if the process cannot start.
base::result<void> run_process(const process_settings& settings, const dialect_maker& make_dialect,
                               settings_reader read_again);

} // namespace damaskladder::daemon
