#pragma once

#include "base/byte_count.hpp"
#include "base/service_id.hpp"
#include "base/slot_count.hpp"
#include "http/address.hpp"
#include "standin/service_time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::standin {

/// Options of a stand-in backend server.
struct standin_options {
    base::service_id service;
    http::address listen{"127.0.0.1", 0};
    /// Local port of the node to announce to; none for a stand-in that is called directly.
    std::optional<http::address> node;
    /// Credential that names the services it may announce.
    std::string credential;
    /// Requests that really run at a time; further ones wait in line.
    base::slot_count slots{40};
    /// Slots that it announces, if they differ from the real ones.
    std::optional<base::slot_count> announced_slots;
    int connections = 330;
    service_time time;
    /// For so long after the start requests take `cold_factor` times as long.
    base::duration cold_time{0};
    double cold_factor = 5;
    base::byte_count answer_size{64};
    /// Paths of onward calls through the node, made one after the other within each request.
    std::vector<std::string> onward_calls;
    /// Answers 503 instead of letting a request wait when so many already wait; zero for never.
    std::size_t shed_above_waiting = 0;
    /// One in so many requests is run, and then its connection is closed without an answer.
    std::uint64_t close_after_run_every = 0;
    std::uint64_t seed = 1;
};

} // namespace damaskladder::standin
