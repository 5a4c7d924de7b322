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
    /// Address of the node to announce to; empty for a stand-in that is called directly.
    std::optional<http::address> node;
    /// Credential that determines which services may be announced.
    std::string credential;
    /// Requests processed concurrently; further ones are queued.
    base::slot_count slots{40};
    /// Number of slots to announce, if it differs from `slots`.
    std::optional<base::slot_count> announced_slots;
    int connections = 330;
    service_time time;
    /// Warm-up period after the start, in which service times are multiplied by `cold_factor`.
    base::duration cold_time{0};
    double cold_factor = 5;
    base::byte_count answer_size{64};
    /// Paths of onward calls through the node, made sequentially within each request.
    std::vector<std::string> onward_calls;
    /// Responds 503 to a new request when this many requests are queued; zero for no limit.
    std::size_t shed_above_waiting = 0;
    /// For one in this many requests, closes the connection without a response after the request
    /// ran; zero for never.
    std::uint64_t close_after_run_every = 0;
    std::uint64_t seed = 1;
};

} // namespace damaskladder::standin
