#pragma once

#include "admission/controller_options.hpp"
#include "admission/tree_throttle.hpp"
#include "base/byte_count.hpp"
#include "base/call_depth.hpp"
#include "base/random_source.hpp"
#include "base/time.hpp"
#include "routing/placement_options.hpp"

#include <chrono>

namespace damaskladder::node {

/// Options of a traffic machine. The defaults are for a node with one backend server.
struct traffic_options {
    /// Source of uniform random values; required.
    base::random_source random;
    /// Part of a call's time budget reserved for the response, so that the entry node receives the
    /// gatekeeper's response before its own deadline.
    base::duration return_margin{std::chrono::milliseconds(5)};
    /// Calls nested deeper than this are refused.
    base::call_depth max_depth{16};
    /// Time limit for a response whose headers arrived in time; after it the response is aborted.
    base::duration max_response_time{std::chrono::minutes(5)};
    /// The same for streaming routes: 30 MB take 50 minutes at 10 KB/s. Callers that stop reading
    /// are disconnected earlier, by the idle time of the listener.
    base::duration max_streaming_time{std::chrono::hours(2)};
    /// Maximum length of a request path.
    base::byte_count max_path{8192};
    admission::controller_options admission;
    /// Retries allowed per recent success of a workspace at a service.
    double retry_ratio = 0.1;
    /// Additional retries per second that the node allows to all workspaces together.
    double min_retries_per_second = 5;
    /// Shed requests with a key while the processor is saturated. Calls of backend servers are not
    /// shed, because that would waste the work already done by their callers.
    bool guard_processor = false;
    /// Shed requests with a key at the root of their call tree while a service that the tree leads
    /// to is short of capacity. Answers between nodes then state the pressure of their route.
    bool admit_by_call_tree = false;
    /// Called when shedding at the root begins or ends for a route; may be unset.
    admission::tree_throttle::shedding_hook on_shedding = {};
    /// How the routers choose backend servers.
    routing::placement_options placement;
    /// Baseline for comparison: random choice among the announced backend servers, no admission
    /// control, no early shedding, and three attempts at every level without allowance or budget.
    bool pass_through = false;
};

} // namespace damaskladder::node
