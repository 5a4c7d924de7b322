#pragma once

#include "base/request_id.hpp"
#include "http/address.hpp"
#include "http/response_head.hpp"
#include "http/transfer.hpp"
#include "load/arrival.hpp"

#include <memory>
#include <optional>

namespace damaskladder::load {

/// A request that was sent and has no final result yet.
struct outstanding_request {
    arrival request;
    http::address target;
    /// Empty unless the stream is non-idempotent.
    base::request_id id;
    unsigned retries_left = 0;
    bool first_sent = false;
    bool timed_out = false;
    bool ended = false;
    /// Response head of the current attempt.
    std::optional<http::response_head> head;
    /// The current attempt. Reset when it ends, because its hooks hold a reference to this request.
    std::shared_ptr<http::transfer> attempt;
};

} // namespace damaskladder::load
