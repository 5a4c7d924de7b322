#pragma once

#include "base/importance.hpp"
#include "base/time.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace damaskladder::node {

/// For tests: one sender of a traffic model.
struct model_sender {
    double per_second = 0;
    base::importance importance = base::importance::normal;
};

/// For tests: topology and load of a traffic model. Each sender is a separate workspace.
struct model_options {
    bool pass_through = false;
    std::uint64_t seed = 1;
    std::vector<model_sender> senders;
    base::duration length{std::chrono::seconds(8)};
    /// Time budget of a request.
    base::duration timeout{std::chrono::seconds(1)};
    /// Number of times that a client sends a failing request in total.
    int client_attempts = 1;
    base::duration client_pause{std::chrono::milliseconds(10)};
    base::duration one_way_delay{std::chrono::microseconds(1'500)};
    int servers = 3;
    /// Actual and announced slots of each backend server of the deep service.
    int slots = 10;
    int announced_slots = 10;
    base::duration service_time{std::chrono::milliseconds(20)};
    /// Requests go through a front service that calls the deep one.
    bool two_levels = false;
    int front_slots = 200;
    base::duration front_time{std::chrono::milliseconds(2)};
    /// Factor by which the deep service is slower from slow_from to slow_until.
    double slow_factor = 1;
    base::duration slow_from{};
    base::duration slow_until{};

    /// Requests per second that the deep service can serve.
    double capacity() const
    {
        return servers * slots * 1e6 / static_cast<double>(service_time.count());
    }
};

} // namespace damaskladder::node
