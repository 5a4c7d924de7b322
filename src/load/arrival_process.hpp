#pragma once

#include "base/random_source.hpp"
#include "load/request_rate.hpp"
#include "load/run_offset.hpp"
#include "load/surge_settings.hpp"

#include <optional>
#include <vector>

namespace damaskladder::load {

/// Poisson arrivals whose rate is constant between the starts and ends of surges.
///
/// The offsets depend only on the random source and the settings, not on responses. The factors of
/// overlapping surges multiply.
class arrival_process {
public:
    /// Applies all given surges, regardless of the stream they name.
    arrival_process(request_rate rate, const std::vector<surge_settings>& surges,
                    base::duration duration, base::random_source random);

    /// Intended send time of the next request, not before the previous one; nothing after the end
    /// of the run.
    std::optional<run_offset> next();

    /// Expected number of requests of the whole run.
    double expected_count() const;

private:
    struct segment {
        double end_s = 0;
        request_rate rate;
    };

    double draw_exponential();

    std::vector<segment> m_segments;
    base::random_source m_random;
    std::size_t m_current = 0;
    double m_time_s = 0;
};

} // namespace damaskladder::load
