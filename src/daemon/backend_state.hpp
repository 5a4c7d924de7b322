#pragma once

#include "admission/requests_per_second.hpp"

#include <optional>
#include <string>

namespace damaskladder::daemon {

/// What a backend server says of itself in the head of an answer.
struct backend_state {
    /// Rate that it takes from all VMs together; none if it takes what it can.
    std::optional<admission::requests_per_second> rate;
    /// What was expected, if the answer names a rate that cannot be read.
    std::string rate_problem;
    /// It leaves and must get no new requests.
    bool leaving = false;
};

} // namespace damaskladder::daemon
