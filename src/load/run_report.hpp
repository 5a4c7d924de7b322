#pragma once

#include "load/command_result.hpp"
#include "load/recovery.hpp"
#include "load/stream_report.hpp"
#include "load/workspace_report.hpp"

#include <vector>

namespace damaskladder::load {

/// Results of one run.
struct run_report {
    std::uint64_t seed = 0;
    base::duration duration{0};
    /// The run was stopped before all requests were sent.
    bool interrupted = false;
    std::vector<goodput_counts> seconds;
    goodput_counts total;
    std::vector<stream_report> streams;
    /// Ordered by name.
    std::vector<workspace_report> workspaces;
    std::vector<recovery> recoveries;
    std::vector<command_result> commands;
    request_count wrongful_refusals;
    latency_quantiles latency;
    /// Delay of first attempts behind their intended send times. It is included in the latencies; a
    /// large value means that the load tool itself was too slow.
    latency_quantiles send_delay;
};

} // namespace damaskladder::load
