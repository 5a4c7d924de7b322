#include "routing/domain_spill.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::routing {
namespace {

/// A pause in the requests counts as at most this many intervals.
constexpr double max_intervals = 4;

void average(double& value, const std::optional<double>& measured, double smoothing)
{
    if (measured) {
        value += smoothing * (*measured - value);
    }
}

} // namespace

void domain_spill::update(const domain_load& own, const domain_load& others,
                          base::duration run_time, base::time_point now)
{
    const auto count = [](base::duration time) { return static_cast<double>(time.count()); };
    const double intervals =
        m_updated
            ? std::clamp(count(now - *m_updated) / count(m_options.interval), 1.0, max_intervals)
            : 1;
    m_updated = now;
    m_wants_probe = false;
    if (own.servers == 0 || others.servers == 0) {
        m_leaving = own.servers == 0 && others.servers > 0 ? 1 : 0;
        m_own = 1;
        return;
    }
    const double smoothing = 1 - std::pow(1 - m_options.smoothing, intervals);
    average(m_own, own.slowdown, smoothing);
    average(m_others, others.slowdown, smoothing);
    const double crossing =
        count(m_options.crossing_cost) /
        count(run_time > base::duration::zero() ? run_time : m_options.default_run_time);
    const double gain = m_own - (others.slowdown ? m_others : 1) - crossing;
    if (gain > 0) {
        m_wants_probe = !others.slowdown;
        raise(gain, own, others, intervals);
    }
    else if (gain < (m_options.return_below - 1) * crossing) {
        const double step =
            std::clamp(-gain * m_options.gain_factor, m_options.min_step, m_options.max_step);
        m_leaving = std::max(0.0, m_leaving - step * intervals);
        m_probe_interval = m_options.min_probe_interval;
    }
}

void domain_spill::raise(double gain, const domain_load& own, const domain_load& others,
                         double intervals)
{
    const double step =
        std::clamp(gain * m_options.gain_factor, m_options.min_step, m_options.max_step);
    // The nodes of a domain move alike, so one step of all of them moves `step` of the domain's
    // demand.
    const double demand = std::max(1.0, own.busy) / std::max(1 - m_leaving, m_options.min_step);
    const double fitting = m_options.room_per_step * others.room / demand;
    m_leaving = std::min(1.0, m_leaving + std::min(step, fitting) * intervals);
    m_probe_interval = others.slowdown && others.room == 0
                           ? m_options.max_probe_interval
                           : std::max(m_probe_interval, m_options.min_probe_interval);
}

bool domain_spill::take_probe(base::time_point now)
{
    if (!m_wants_probe || now < m_next_probe) {
        return false;
    }
    m_next_probe = now + m_probe_interval;
    return true;
}

} // namespace damaskladder::routing
