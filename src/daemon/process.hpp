#pragma once

#include "daemon/dialect.hpp"
#include "daemon/process_settings.hpp"
#include "wire/cluster_secret.hpp"

#include <functional>

namespace damaskladder::daemon {

/// Makes the dialect that the settings of a process ask for.
using dialect_maker = std::function<dialect(const process_settings&, const wire::cluster_secret&)>;

/// Runs a process as its settings say until SIGTERM or SIGINT, then stops it gracefully: readiness
/// off, announcements withdrawn, running requests finished, leadership handed over. A second signal
/// or the stop limit cuts off what still runs. Fails if it cannot start.
base::result<void> run_process(const process_settings& settings, const dialect_maker& make_dialect);

} // namespace damaskladder::daemon
