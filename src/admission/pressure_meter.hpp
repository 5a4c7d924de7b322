#pragma once

#include "admission/pressure_meter_options.hpp"
#include "base/load_fraction.hpp"
#include "base/time.hpp"

namespace damaskladder::admission {

/// Exponentially smoothed load over time. A sample is valid until the next one, so the value is
/// weighted by time and not by the number of samples.
class pressure_meter {
public:
    explicit pressure_meter(pressure_meter_options options = {}) : m_options(options) {}

    /// Values are clamped to 0 to 4. The first sample is taken over unsmoothed.
    void record(base::load_fraction sample, base::time_point now);

    /// 0 before the first sample.
    base::load_fraction value(base::time_point now) const;

private:
    double smoothed(base::time_point now) const;

    pressure_meter_options m_options;
    double m_value = 0;
    double m_sample = 0;
    base::time_point m_sampled_at;
    bool m_empty = true;
};

} // namespace damaskladder::admission
