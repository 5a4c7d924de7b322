#pragma once

#include "membership/announcement.hpp"

#include <string>

namespace damaskladder::daemon {

/// A call of the local API, from the backend server of this VM or a collector.
struct local_call {
    enum class kind { unknown, malformed, health, ready, metrics, announce, drain, withdraw };

    kind what = kind::unknown;
    /// With announce, drain and withdraw.
    membership::announcement offer;
    /// With malformed: what was expected.
    std::string problem;
};

} // namespace damaskladder::daemon
