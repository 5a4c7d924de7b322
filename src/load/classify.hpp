#pragma once

#include "http/response_head.hpp"
#include "http/transfer_result.hpp"
#include "load/request_result.hpp"

#include <optional>

namespace damaskladder::load {

/// Classifies an attempt that was not cancelled. head is unset if no response head arrived.
request_result classify(const http::transfer_result& end,
                        const std::optional<http::response_head>& head);

/// Whether the result is a refusal, after which a request with retries left is retried immediately.
bool is_refusal(result_class result);

} // namespace damaskladder::load
