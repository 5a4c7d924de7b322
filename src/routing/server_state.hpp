#pragma once

#include "base/importance.hpp"
#include "base/incarnation.hpp"
#include "base/time.hpp"
#include "routing/load_report.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace damaskladder::routing {

/// A router's own observations of one backend server.
struct server_state {
    base::incarnation incarnation;
    /// Outstanding calls by importance.
    std::array<std::int64_t, base::importance_levels> outstanding{};
    int consecutive_failures = 0;
    int consecutive_unreachable = 0;
    /// Recent attempts, and the failed ones among them; both decay by 10% per attempt.
    double attempts = 0;
    double failed = 0;
    bool ejected = false;
    base::time_point ejected_until;
    base::duration last_ejection_duration{};
    /// A probe is outstanding.
    bool probing = false;
    /// The gatekeeper's latest load report, and the own calls started minus those ended since.
    std::optional<load_report> report;
    base::time_point reported_at;
    std::int64_t outstanding_since_report = 0;
    base::time_point full_until;
    base::time_point draining_until;
    /// Announced as cold at the last choice.
    bool cold = false;
    /// The gatekeeper refuses requests of each importance until then, because the server is
    /// limited.
    std::array<base::time_point, base::importance_levels> limited_until{};
    /// Start of slow start; nullopt after it ended.
    std::optional<base::time_point> slow_start_began;
    base::time_point last_used;
};

} // namespace damaskladder::routing
