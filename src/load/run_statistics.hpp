#pragma once

#include "load/arrival.hpp"
#include "load/experiment.hpp"
#include "load/goodput_series.hpp"
#include "load/latency_histogram.hpp"
#include "load/request_result.hpp"
#include "load/run_report.hpp"

#include <vector>

namespace damaskladder::load {

/// Collects the results of a run. All times are offsets from its start.
class run_statistics {
public:
    explicit run_statistics(const experiment& plan);

    /// Records that a request is due.
    void due(const arrival& request);
    /// Records that an attempt was sent. First attempts contribute to the send delay.
    void sent(const arrival& request, run_offset at, bool is_first);
    /// Records the result of an attempt, whether or not it is retried.
    void attempt_ended(const arrival& request, const request_result& result);
    /// Records the final result of a request.
    void ended(const arrival& request, const request_result& result, run_offset at);
    void command_ended(const command_result& result);

    run_report report() const;

private:
    struct stream_statistics {
        stream_report counts;
        latency_histogram latency;
    };

    stream_statistics& of(const arrival& request) { return m_streams[request.stream.value()]; }
    std::vector<workspace_report> workspaces() const;

    experiment m_plan;
    std::vector<stream_statistics> m_streams;
    goodput_series m_series;
    latency_histogram m_latency;
    latency_histogram m_send_delay;
    std::vector<command_result> m_commands;
};

} // namespace damaskladder::load
