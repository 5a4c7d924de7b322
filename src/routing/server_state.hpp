#pragma once

#include "base/importance.hpp"
#include "base/incarnation.hpp"
#include "base/time.hpp"
#include "routing/load_report.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace damaskladder::routing {

/// What a router has seen of one backend server itself.
struct server_state {
    base::incarnation incarnation;
    /// Calls sent and not ended, by importance.
    std::array<std::int64_t, base::importance_levels> outstanding{};
    int consecutive_failures = 0;
    int consecutive_unreachable = 0;
    /// Attempts of late and the failed ones among them; both fade by 10% an attempt.
    double attempts = 0;
    double failed = 0;
    bool ejected = false;
    base::time_point ejected_until;
    base::duration last_ejection_duration{};
    /// A test request is under way.
    bool probing = false;
    /// What its gatekeeper said last, and the own calls begun less those ended since.
    std::optional<load_report> report;
    base::time_point reported_at;
    std::int64_t outstanding_since_report = 0;
    base::time_point full_until;
    base::time_point draining_until;
    /// Start of the ramp; nothing after it ended.
    std::optional<base::time_point> slow_start_began;
    base::time_point last_used;
};

} // namespace damaskladder::routing
