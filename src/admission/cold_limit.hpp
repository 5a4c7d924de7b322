#pragma once

#include "base/importance.hpp"
#include "base/request_count.hpp"
#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace damaskladder::admission {

/// Bounds the requests that a cold backend server gets in any one second, by a log of their send
/// times. Less important requests leave to more important ones what these have asked for lately,
/// and a part of the bound in any case.
///
/// The owner reports every send, also while the server is warm, so that the requests of the last
/// second count when it becomes cold. Times must not decrease.
///
/// Load pattern: a server that has just started and crashes above a small rate, and many entry
/// nodes that each send it their share at once.
class cold_limit {
public:
    /// Sets the highest number of requests in one second; none ends the limit. Requests sent before
    /// logged_since are unknown, and the second after it counts as full.
    void set(std::optional<base::request_count> most, base::time_point logged_since);

    bool is_set() const { return m_most.has_value(); }

    /// Records a request that arrives, whether it is sent or not.
    void offered(base::importance level, base::time_point now);
    /// Whether a request may be sent now.
    bool allows(base::importance level, base::time_point now) const;
    /// Records a request that is sent.
    void take(base::importance level, base::time_point now);
    /// Part of the bound that is used up, 0 to 1. Zero without a limit.
    double used_share(base::time_point now) const;

private:
    struct sent_request {
        base::time_point at;
        base::importance level = base::importance::background;
    };

    std::int64_t usable() const;
    std::int64_t sent_lately(base::importance lowest, base::time_point now) const;
    /// Smallest number of requests kept for those more important than the level.
    std::int64_t min_reserve(base::importance level) const;
    /// Number of requests more important than the level that are expected in the window.
    std::int64_t expected_above(base::importance level, base::time_point now) const;
    double decay_until(base::time_point now) const;

    std::optional<base::request_count> m_most;
    /// Requests sent within the window, oldest first.
    std::deque<sent_request> m_sent;
    /// Arrivals by importance, which decay within about a second.
    std::array<double, base::importance_levels> m_offered{};
    base::time_point m_offered_at{};
    /// Latest time of requests that are not in the log.
    base::time_point m_unlogged{base::time_point::min()};
};

} // namespace damaskladder::admission
