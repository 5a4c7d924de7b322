#include "admission/tree_throttle.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace damaskladder::admission {
namespace {

/// Bounds the work after a long pause. Enough steps to lower any fraction to 0.
constexpr int max_steps = 40;
/// Smaller fractions are not reported as shedding, since they come and go with single bursts.
constexpr double reported_fraction = 0.05;

} // namespace

tree_throttle::tree_throttle(tree_throttle_options options, base::random_source random,
                             shedding_hook on_shedding)
    : m_options(options), m_random(std::move(random)), m_on_shedding(std::move(on_shedding))
{
}

void tree_throttle::on_report(const base::route_id& route, base::load_fraction pressure,
                              base::time_point now)
{
    if (route_state* state = state_of(route, now)) {
        state->meter.record(pressure, now);
        advance(route, *state, now);
    }
}

std::optional<base::duration> tree_throttle::shed(const base::route_id& route,
                                                  base::importance level,
                                                  const base::workspace_id& workspace,
                                                  base::time_point now)
{
    route_state* state = state_of(route, now);
    if (state == nullptr) {
        return std::nullopt;
    }
    advance(route, *state, now);
    state->demand.arrived(workspace, now);
    const double wanted = fraction(*state, level);
    if (wanted <= 0) {
        return std::nullopt;
    }
    constexpr double range = 18446744073709551616.0;
    const double drawn = static_cast<double>(m_random()) / range;
    if (drawn >= state->demand.shed_probability(workspace, wanted)) {
        return std::nullopt;
    }
    const auto spread =
        static_cast<double>((m_options.max_retry_after - m_options.min_retry_after).count());
    return m_options.min_retry_after +
           base::duration(static_cast<std::int64_t>(spread * wanted / m_options.cap));
}

double tree_throttle::fraction(const base::route_id& route, base::importance level) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 0 : fraction(found->second, level);
}

std::vector<route_pressure> tree_throttle::highest(std::size_t count, base::time_point now) const
{
    std::vector<route_pressure> routes;
    routes.reserve(m_routes.size());
    for (const auto& [route, state] : m_routes) {
        routes.push_back({route, state.meter.value(now), state.shed});
    }
    const auto shown = std::min(count, routes.size());
    std::partial_sort(routes.begin(), routes.begin() + static_cast<std::ptrdiff_t>(shown),
                      routes.end(),
                      [](const auto& a, const auto& b) { return a.pressure > b.pressure; });
    routes.resize(shown);
    return routes;
}

tree_throttle::route_state* tree_throttle::state_of(const base::route_id& route,
                                                    base::time_point now)
{
    const auto found = m_routes.find(route);
    if (found != m_routes.end()) {
        return &found->second;
    }
    if (m_routes.size() >= m_options.max_routes) {
        return nullptr;
    }
    route_state& added = m_routes.try_emplace(route, m_options.meter).first->second;
    added.adjusted_at = now;
    return &added;
}

void tree_throttle::advance(const base::route_id& route, route_state& state, base::time_point now)
{
    const auto due = (now - state.adjusted_at) / m_options.step;
    if (due <= 0) {
        return;
    }
    state.adjusted_at += due * m_options.step;
    const auto pressure = state.meter.value(now);
    for (int step = 0; step < std::min<std::int64_t>(due, max_steps); ++step) {
        adjust(state, pressure.value());
    }
    const bool shedding = state.shedding ? state.shed > 0 : state.shed >= reported_fraction;
    if (shedding != state.shedding) {
        state.shedding = shedding;
        if (m_on_shedding) {
            m_on_shedding({route, pressure, state.shed}, shedding);
        }
    }
}

void tree_throttle::adjust(route_state& state, double pressure) const
{
    // The pressure was measured under the fraction of some steps ago; the changes made since then
    // are on their way and must not be made again.
    const double admitted = 1 - state.shed;
    const double measured_under = state.admitted.empty() ? admitted : state.admitted.front();
    const double expected =
        std::clamp(pressure, m_options.min_used, m_options.max_used) * admitted / measured_under;
    state.admitted.push_back(admitted);
    if (state.admitted.size() > m_options.feedback_steps) {
        state.admitted.pop_front();
    }
    const bool excess = expected > m_options.target;
    if (state.critical > 0 || (state.shed >= m_options.cap && excess)) {
        state.critical = std::clamp(
            state.critical + (excess ? m_options.critical_raise : -m_options.critical_lower), 0.0,
            m_options.cap);
        return;
    }
    double moved = admitted * std::pow(m_options.target / expected, m_options.gain);
    if (pressure < m_options.low_water) {
        moved = std::max(moved, admitted + m_options.lower);
    }
    state.shed = std::clamp((1 - moved) * (1 - m_options.leak), 0.0, m_options.cap);
}

double tree_throttle::fraction(const route_state& state, base::importance level) const
{
    switch (level) {
    case base::importance::critical:
        return state.critical;
    case base::importance::normal:
        return state.shed;
    case base::importance::low:
    case base::importance::background:
        break;
    }
    const double extra = std::min(m_options.low_extra_max, m_options.low_extra_part * state.shed);
    return std::min(m_options.cap, state.shed + extra);
}

} // namespace damaskladder::admission
