#pragma once

#include "admission/controller.hpp"
#include "admission/rate_limit.hpp"
#include "base/instance_id.hpp"
#include "base/service_id.hpp"
#include "node/cold_guard.hpp"
#include "node/refusal_reason.hpp"
#include "routing/run_time_average.hpp"

#include <optional>

namespace damaskladder::node {

/// Admission control for the local backend server of one service.
struct gatekeeper_service {
    explicit gatekeeper_service(const admission::controller_options& options) : control(options) {}

    admission::controller control;
    /// The backend server requested to drain, and the view has not shown a later announcement yet.
    bool drain_requested = false;
    /// The view has shown the drain, so an announcement without it is newer than the request.
    bool drain_seen = false;
    /// Run that requested the drain; empty if it is not known.
    base::instance_id drained_run;
    /// Reason for which new calls are refused; none if they are accepted.
    std::optional<refusal_reason> closed_reason;
    /// Rate that the backend server has named in its latest answer.
    admission::rate_limit rate;
    /// Time for which calls occupy a slot, for load reports.
    routing::run_time_average run_time;
    cold_guard cold;
};

} // namespace damaskladder::node
