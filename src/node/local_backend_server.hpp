#pragma once

#include "base/instance_id.hpp"
#include "base/request_count.hpp"
#include "base/service_id.hpp"
#include "base/slot_count.hpp"
#include "base/time.hpp"

#include <chrono>
#include <optional>

namespace damaskladder::node {

/// The announcement of a backend server on this VM whose lease has not expired.
struct local_backend_server {
    base::service_id service;
    base::slot_count slots;
    /// Started recently; admission begins with few slots.
    bool cold = false;
    bool draining = false;
    /// Largest max_staleness of the routes of the service. Calls with a key are admitted only while
    /// the settings are no older.
    base::duration max_staleness{std::chrono::seconds(10)};
    /// Instance id in the announcement; empty if it had none.
    base::instance_id instance = {};
    /// Its failure domain is evacuated, so it gets no new calls.
    bool evacuated = false;
    /// Most requests in one second while the server is cold; empty if its service has no limit.
    std::optional<base::request_count> cold_burst = std::nullopt;
    /// The server has announced that it is cold until this time.
    base::time_point cold_until = {};
    /// Arrival of the server's last announcement.
    base::time_point announced_at = {};
};

} // namespace damaskladder::node
