#include "admission/call_tree_model.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::admission {
namespace {

double seconds(base::duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// Windows closed after a pause without events; the rest of the pause is not recorded.
constexpr int max_windows_at_once = 10;

} // namespace

void call_tree_model::run_started(const base::route_id& route, base::time_point now)
{
    if (activity* runs = activity_of(route, now)) {
        ++runs->running;
        ++runs->starts;
    }
}

void call_tree_model::run_ended(const base::route_id& route, base::time_point now)
{
    if (activity* runs = activity_of(route, now)) {
        runs->running = std::max<std::int64_t>(0, runs->running - 1);
    }
}

void call_tree_model::call_made(const base::route_id& downstream, base::time_point now)
{
    advance(now);
    auto known = std::find(m_counts.begin(), m_counts.end(), downstream);
    if (known == m_counts.end()) {
        if (m_counts.size() >= m_options.max_downstream) {
            return;
        }
        m_fit.add_count();
        m_counts.push_back(downstream);
        m_calls.push_back(0);
        known = m_counts.end() - 1;
    }
    m_calls[static_cast<std::size_t>(known - m_counts.begin())] += 1;
}

void call_tree_model::call_made(const base::route_id& parent, const base::route_id& downstream,
                                base::time_point now)
{
    activity* runs = activity_of(parent, now);
    const bool fits = runs != nullptr && (runs->named.size() < m_options.max_downstream ||
                                          runs->named.count(downstream) != 0);
    if (fits) {
        runs->named[downstream] = now;
    }
}

std::vector<base::route_id> call_tree_model::downstream_of(const base::route_id& route,
                                                           base::time_point now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return {};
    }
    std::vector<base::route_id> result = found->second.links;
    for (const auto& [downstream, last] : found->second.named) {
        if (now - last < m_options.memory) {
            result.push_back(downstream);
        }
    }
    return result;
}

call_tree_model::activity* call_tree_model::activity_of(const base::route_id& route,
                                                        base::time_point now)
{
    advance(now);
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= m_options.max_routes) {
            return nullptr;
        }
        m_fit.add_cause();
        m_causes.push_back(route);
        found = m_routes.try_emplace(route).first;
        found->second.changed_at = now;
    }
    accumulate(found->second, now);
    return &found->second;
}

void call_tree_model::accumulate(activity& runs, base::time_point now)
{
    runs.run_seconds += static_cast<double>(runs.running) * seconds(now - runs.changed_at);
    runs.changed_at = now;
}

void call_tree_model::advance(base::time_point now)
{
    if (!m_started) {
        m_started = true;
        m_window_start = now;
        m_refit_at = now + m_options.refit;
    }
    if (now - m_window_start > max_windows_at_once * m_options.window) {
        m_window_start = now - max_windows_at_once * m_options.window;
        for (auto& item : m_routes) {
            item.second.changed_at = std::max(item.second.changed_at, m_window_start);
        }
    }
    while (now - m_window_start >= m_options.window) {
        m_window_start += m_options.window;
        close_window(m_window_start);
    }
    if (now >= m_refit_at) {
        m_refit_at = now + m_options.refit;
        refit();
    }
}

void call_tree_model::close_window(base::time_point end)
{
    const double keep = std::exp(-seconds(m_options.window) / seconds(m_options.memory));
    std::vector<double> run_seconds;
    for (const auto& route : m_causes) {
        activity& runs = m_routes[route];
        if (runs.changed_at < end) {
            accumulate(runs, end);
        }
        run_seconds.push_back(runs.run_seconds);
        runs.recent_run_seconds = runs.recent_run_seconds * keep + runs.run_seconds;
        runs.recent_starts = runs.recent_starts * keep + runs.starts;
        runs.run_seconds = 0;
        runs.starts = 0;
    }
    m_fit.record(run_seconds, m_calls, keep);
    std::fill(m_calls.begin(), m_calls.end(), 0);
}

void call_tree_model::refit()
{
    if (m_fit.windows() < m_options.min_windows) {
        return;
    }
    const auto estimates = m_fit.solve();
    for (std::size_t cause = 0; cause < m_causes.size(); ++cause) {
        activity& runs = m_routes[m_causes[cause]];
        const double mean_run = runs.recent_run_seconds / std::max(1.0, runs.recent_starts);
        std::vector<base::route_id> links;
        for (std::size_t count = 0; count < m_counts.size(); ++count) {
            const rate_estimate& found = estimates[count][cause];
            const bool linked = std::find(runs.links.begin(), runs.links.end(), m_counts[count]) !=
                                runs.links.end();
            const double ratio = linked ? m_options.unlink_ratio : m_options.link_ratio;
            if (found.rate * mean_run >= m_options.min_calls_per_run &&
                found.rate > ratio * found.error) {
                links.push_back(m_counts[count]);
            }
        }
        runs.links = std::move(links);
    }
}

} // namespace damaskladder::admission
