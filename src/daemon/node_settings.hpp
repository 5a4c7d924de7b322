#pragma once

#include "base/service_id.hpp"
#include "base/time.hpp"
#include "daemon/traffic_addresses.hpp"

#include <string>
#include <vector>

namespace damaskladder::daemon {

/// Settings of the node part of a process.
struct node_settings {
    traffic_addresses listen;
    /// Connections of callers at a time.
    unsigned connections = 2000;
    /// Longest time for running requests to finish at a graceful stop.
    base::duration stop_limit = std::chrono::seconds(30);
    /// At a graceful stop, serve what comes until shortly before stop_limit, because the VM gets no
    /// other process before then.
    bool serve_while_stopping = false;
    /// Retries permitted at a service, on all levels of the call trees together, as a part of its
    /// requests; zero for the defaults of the decisions.
    double retry_budget = 0;
    /// Turn keyed requests away while the processor is used up.
    bool guard_processor = false;
    /// Credential of the backend server on this VM and the services that it may announce.
    std::string credential;
    std::vector<base::service_id> services;
    /// IP address at which it listens.
    std::string backend_server_host = "127.0.0.1";
    /// The slots that it announces are what it runs at a time, so the limit is not corrected by
    /// measured latency; and open routes serve its own callers, not strangers.
    bool exact_slots = false;
    /// Time between its announcements; each counts for four times as long, so that three may be
    /// late or lost.
    base::duration announce_interval = std::chrono::milliseconds(750);
};

} // namespace damaskladder::daemon
