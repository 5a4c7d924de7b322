#pragma once

#include "base/service_id.hpp"
#include "base/time.hpp"
#include "daemon/traffic_addresses.hpp"

#include <string>
#include <vector>

namespace damaskladder::daemon {

/// Settings of the node in a process.
struct node_settings {
    traffic_addresses listen;
    /// Maximum number of concurrent connections of callers.
    unsigned connections = 2000;
    /// Maximum requests of one connection of a caller, or of the backend server on this VM, that
    /// are worked on at once; 1 reads the next request only after the response.
    unsigned requests_ahead = 16;
    /// Maximum time for running requests to finish during a graceful stop.
    base::duration stop_limit = std::chrono::seconds(30);
    /// During a graceful stop, accept new requests until shortly before stop_limit, because the VM
    /// gets no replacement process before then.
    bool serve_while_stopping = false;
    /// Maximum ratio of retries to requests at a service, summed over all levels of the call trees;
    /// 0 selects the defaults of node::traffic_options.
    double retry_budget = 0;
    /// Refuse requests with a key while the processor is saturated.
    bool guard_processor = false;
    /// Refuse requests with a key at the root while their call tree leads to a service that is
    /// short of capacity.
    bool admit_by_call_tree = false;
    /// Choose backend servers by expected completion, and leave the own failure domain only if that
    /// gains more than crossing_cost.
    bool place_by_completion = false;
    base::duration crossing_cost = std::chrono::milliseconds(10);
    /// Credential of the backend server on this VM, and the services that it may announce.
    std::string credential;
    std::vector<base::service_id> services;
    /// IP address on which the backend server listens.
    std::string backend_server_host = "127.0.0.1";
    /// The announced slots are the exact concurrency of the backend server, so the limit is not
    /// adjusted by measured latency. Open routes then serve its own callers rather than anonymous
    /// ones, so they may use all slots.
    bool exact_slots = false;
    /// Interval between announcements of the backend server. An announcement is valid for four
    /// intervals, so that three may be late or lost.
    base::duration announce_interval = std::chrono::milliseconds(750);

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

} // namespace damaskladder::daemon
