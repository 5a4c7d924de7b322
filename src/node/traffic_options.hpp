#pragma once

#include "admission/controller_options.hpp"
#include "base/byte_count.hpp"
#include "base/call_depth.hpp"
#include "base/random_source.hpp"
#include "base/time.hpp"

#include <chrono>

namespace damaskladder::node {

/// Options of a traffic machine. The defaults suit a node with one backend server.
struct traffic_options {
    /// Uniform random values; required.
    base::random_source random;
    /// Part of a call's time kept for the way back, so that the entry node hears the verdict.
    base::duration return_margin{std::chrono::milliseconds(5)};
    /// Onward calls deeper than this are refused.
    base::call_depth max_depth{16};
    /// An answer whose headers came in time may take this long; then it is cut.
    base::duration max_response_time{std::chrono::minutes(5)};
    /// Longest path of a request.
    base::byte_count max_path{8192};
    admission::controller_options admission;
    /// Retries permitted for each recent success of a workspace at a service.
    double retry_ratio = 0.1;
    /// Retries of the node permitted besides, a second.
    double min_retries_per_second = 5;
    /// Shed keyed requests while the processor is used up. Calls of backend servers go on, because
    /// the work above them is done already.
    bool guard_processor = false;
    /// Baseline for comparison: random choice among the announced backend servers, no admission
    /// and no early shedding, and three attempts at every level without allowance or budget.
    bool pass_through = false;
};

} // namespace damaskladder::node
