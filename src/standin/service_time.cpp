#include "standin/service_time.hpp"

#include <cmath>

namespace damaskladder::standin {

base::duration service_time::sample(const base::random_source& random) const
{
    if (kind == service_time_kind::fixed) {
        return mean;
    }
    constexpr double scale = 1.0 / 18446744073709551616.0;
    const double uniform = (static_cast<double>(random()) + 1.0) * scale;
    return base::duration(
        static_cast<std::int64_t>(-std::log(uniform) * static_cast<double>(mean.count())));
}

} // namespace damaskladder::standin
