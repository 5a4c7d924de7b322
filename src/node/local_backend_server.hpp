#pragma once

#include "base/instance_id.hpp"
#include "base/service_id.hpp"
#include "base/slot_count.hpp"
#include "base/time.hpp"

#include <chrono>

namespace damaskladder::node {

/// The announcement of a backend server on this VM whose lease has not ended.
struct local_backend_server {
    base::service_id service;
    base::slot_count slots;
    /// Started a short time ago; begins with few slots.
    bool cold = false;
    bool draining = false;
    /// Largest max_staleness of the routes of the service; bounds the age of the settings with
    /// which keyed calls are admitted.
    base::duration max_staleness{std::chrono::seconds(10)};
    /// The run that announced itself; empty if it named none.
    base::instance_id instance = {};
};

} // namespace damaskladder::node
