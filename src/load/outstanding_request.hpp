#pragma once

#include "base/request_id.hpp"
#include "http/address.hpp"
#include "http/response_head.hpp"
#include "http/transfer.hpp"
#include "load/arrival.hpp"

#include <memory>
#include <optional>

namespace damaskladder::load {

/// A request that was sent and has no last result yet.
struct outstanding_request {
    arrival request;
    http::address target;
    /// Empty unless the stream is non-idempotent.
    base::request_id id;
    unsigned retries_left = 0;
    bool first_sent = false;
    bool timed_out = false;
    bool ended = false;
    /// Answer of the present attempt.
    std::optional<http::response_head> head;
    /// The present attempt; reset at its end, since its hooks refer to this request.
    std::shared_ptr<http::transfer> attempt;
};

} // namespace damaskladder::load
