#pragma once

#include "base/request_count.hpp"
#include "base/service_id.hpp"
#include "base/team_id.hpp"
#include "settings/token_rate.hpp"

#include <optional>

namespace damaskladder::settings {

/// Compiled settings of a service.
struct service_settings {
    base::service_id id;
    base::team_id team;
    /// Requests that a cold backend server handles in a second; without it, cold backend servers
    /// have no limit of their own.
    std::optional<token_rate> cold_rate;
    /// Most requests that a cold backend server gets in any one second; by default those of
    /// cold_rate, and at least one.
    base::request_count cold_burst;
};

} // namespace damaskladder::settings
