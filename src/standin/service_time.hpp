#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"

namespace damaskladder::standin {

/// Distribution of service times.
enum class service_time_kind { fixed, exponential };

/// Generates service times. Deterministic for a given random source.
struct service_time {
    service_time_kind kind = service_time_kind::fixed;
    base::duration mean = std::chrono::milliseconds(5);

    base::duration sample(const base::random_source& random) const;
};

} // namespace damaskladder::standin
