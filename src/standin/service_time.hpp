#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"

namespace damaskladder::standin {

/// Distribution of the time that a request runs.
enum class service_time_kind { fixed, exponential };

/// Draws service times. Seeded through the random source.
struct service_time {
    service_time_kind kind = service_time_kind::fixed;
    base::duration mean = std::chrono::milliseconds(5);

    base::duration sample(const base::random_source& random) const;
};

} // namespace damaskladder::standin
