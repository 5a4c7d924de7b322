#pragma once

#include "http/response_head.hpp"
#include "http/transfer_result.hpp"
#include "load/request_result.hpp"

#include <optional>

namespace damaskladder::load {

/// What an attempt came to that ended by itself; head is unset if no answer began.
request_result classify(const http::transfer_result& end,
                        const std::optional<http::response_head>& head);

/// Whether a client that retries hard makes a further attempt at once.
bool is_refusal(result_class result);

} // namespace damaskladder::load
