#pragma once

#include "membership/announcement.hpp"

#include <string>

namespace damaskladder::daemon {

/// A parsed call of the local API, made by the backend server on this VM or by a metrics collector.
struct local_call {
    enum class kind { unknown, malformed, health, ready, metrics, announce, drain, withdraw };

    kind what = kind::unknown;
    /// Set for announce, drain and withdraw.
    membership::announcement offer;
    /// Set for malformed: what was expected.
    std::string problem;
};

} // namespace damaskladder::daemon
