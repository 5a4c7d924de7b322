#pragma once

#include "base/workspace_id.hpp"
#include "load/goodput_counts.hpp"
#include "load/latency_quantiles.hpp"
#include "load/refusal_reason.hpp"
#include "load/result_class.hpp"
#include "load/stream_name.hpp"

#include <array>
#include <map>

namespace damaskladder::load {

/// Results of one stream.
struct stream_report {
    stream_name name;
    base::workspace_id workspace;
    goodput_counts total;
    /// Attempts sent, including first attempts.
    request_count attempts;
    /// Number of requests by final result.
    std::array<request_count, result_classes> results{};
    /// Number of requests whose final result is a refusal, by reason.
    std::map<refusal_reason, request_count> reasons;
    /// Attempts refused for rate although the stream stays within the rate of its workspace.
    request_count wrongful_refusals;
    latency_quantiles latency;

    request_count count(result_class kind) const
    {
        return results.at(static_cast<std::size_t>(kind));
    }
};

} // namespace damaskladder::load
