#include "admission/pressure_meter.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::admission {
namespace {

/// A false report must not keep requests out for long, and any higher value leads to the same
/// decision.
constexpr double max_pressure = 4;

double ratio(base::duration part, base::duration whole)
{
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

} // namespace

void pressure_meter::record(base::load_fraction sample, base::time_point now)
{
    const double clamped = std::clamp(sample.value(), 0.0, max_pressure);
    m_value = m_empty ? clamped : smoothed(now);
    m_sample = clamped;
    m_sampled_at = now;
    m_empty = false;
}

base::load_fraction pressure_meter::value(base::time_point now) const
{
    if (!m_options.valid_for) {
        return base::load_fraction(smoothed(now));
    }
    const double age = ratio(now - m_sampled_at, *m_options.valid_for);
    return base::load_fraction(smoothed(now) * std::clamp(2 - age, 0.0, 1.0));
}

double pressure_meter::smoothed(base::time_point now) const
{
    const double weight = std::exp(-ratio(now - m_sampled_at, m_options.smoothing));
    return m_sample + (m_value - m_sample) * weight;
}

} // namespace damaskladder::admission
