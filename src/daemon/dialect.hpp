#pragma once

#include "base/result.hpp"
#include "daemon/backend_call.hpp"
#include "daemon/backend_state.hpp"
#include "daemon/local_call.hpp"
#include "daemon/operator_call.hpp"
#include "daemon/parsed_request.hpp"
#include "daemon/response_verdict.hpp"
#include "http/request_head.hpp"
#include "http/response_head.hpp"
#include "node/refuse.hpp"

#include <functional>
#include <optional>
#include <string_view>

namespace damaskladder::daemon {

/// HTTP interface between a process and callers, backend servers and operators: names of calls and
/// header fields, and formats of bodies. It only translates and makes no decisions. Messages
/// between the system's own processes do not depend on it. All hooks must be set.
struct dialect {
    /// Parses the header fields of a caller's request. Fails with invalid_argument.
    std::function<base::result<parsed_request>(const http::request_head&)> read_request;
    /// Removes header fields that are meant only for the system and must not reach a backend
    /// server.
    std::function<void(http::header_list&)> remove_system_fields;
    /// Adds the header fields that carry the call to the backend server.
    std::function<void(http::header_list&, const backend_call&)> address_backend_server;
    std::function<response_verdict(const http::request_head& request,
                                   const http::response_head& answer)>
        check_response;
    /// Reads what a backend server says of itself in an answer that check_response() has not found
    /// mismatched. None if the answer comes from another backend server than the announced one.
    std::function<std::optional<backend_state>(const http::response_head&)> read_backend_state;
    /// Builds the response head of a refusal.
    std::function<http::response_head(const node::refuse&)> refusal;
    /// Whether a request on the backend server's port is a call of the local API.
    std::function<bool(const http::request_head&)> is_local_call;
    std::function<local_call(const http::request_head&, std::string_view body)> read_local_call;
    /// Calls returned as unknown are handled by the system's own operator API.
    std::function<operator_call(const http::request_head&, std::string_view body)>
        read_operator_call;
};

} // namespace damaskladder::daemon
