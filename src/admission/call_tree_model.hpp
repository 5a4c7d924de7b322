#pragma once

#include "admission/call_rate_fit.hpp"
#include "admission/call_tree_options.hpp"
#include "base/route_id.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace damaskladder::admission {

/// Learns which routes the runs of each local route call.
///
/// Calls that name their parent are attributed exactly. The others are attributed statistically: in
/// windows of 200 ms, the calls of each downstream route are explained by the run-seconds of each
/// local route.
class call_tree_model {
public:
    explicit call_tree_model(call_tree_options options = {}) : m_options(options) {}

    void run_started(const base::route_id& route, base::time_point now);
    void run_ended(const base::route_id& route, base::time_point now);

    /// Records a call whose parent is not known.
    void call_made(const base::route_id& downstream, base::time_point now);
    /// Records a call of a run of `parent`.
    void call_made(const base::route_id& parent, const base::route_id& downstream,
                   base::time_point now);

    /// Routes that the runs of a route call.
    std::vector<base::route_id> downstream_of(const base::route_id& route,
                                              base::time_point now) const;

private:
    /// Runs of a local route.
    struct activity {
        std::int64_t running = 0;
        base::time_point changed_at;
        /// Within the current window.
        double run_seconds = 0;
        int starts = 0;
        /// Over the memory of the model, for the mean duration of a run.
        double recent_run_seconds = 0;
        double recent_starts = 0;
        /// Links found by the last fit.
        std::vector<base::route_id> links;
        /// Last call of each downstream route that named its parent.
        std::unordered_map<base::route_id, base::time_point> named;
    };

    activity* activity_of(const base::route_id& route, base::time_point now);
    static void accumulate(activity& runs, base::time_point now);
    void advance(base::time_point now);
    void close_window(base::time_point end);
    void refit();

    call_tree_options m_options;
    call_rate_fit m_fit;
    std::unordered_map<base::route_id, activity> m_routes;
    /// Routes in the order of the causes of m_fit, and downstream routes in that of its counts.
    std::vector<base::route_id> m_causes;
    std::vector<base::route_id> m_counts;
    /// Calls of each downstream route within the current window.
    std::vector<double> m_calls;
    base::time_point m_window_start;
    base::time_point m_refit_at;
    bool m_started = false;
};

} // namespace damaskladder::admission
