#pragma once

#include "base/result.hpp"
#include "daemon/backend_call.hpp"
#include "daemon/local_call.hpp"
#include "daemon/operator_call.hpp"
#include "daemon/parsed_request.hpp"
#include "daemon/response_verdict.hpp"
#include "http/request_head.hpp"
#include "http/response_head.hpp"
#include "node/refuse.hpp"

#include <functional>
#include <string_view>

namespace damaskladder::daemon {

/// How a process speaks with callers, backend servers and operators: names of calls and header
/// fields, forms of bodies. It translates and decides nothing. Between its own processes the system
/// always speaks its own way. All hooks must be set.
struct dialect {
    /// Reads the fields of a caller's request. Fails with invalid_argument.
    std::function<base::result<parsed_request>(const http::request_head&)> read_request;
    /// Removes what concerns only the system from the fields that go on to a backend server.
    std::function<void(http::header_list&)> remove_system_fields;
    /// Adds what the backend server is told.
    std::function<void(http::header_list&, const backend_call&)> address_backend_server;
    std::function<response_verdict(const http::request_head& request,
                                   const http::response_head& answer)>
        check_response;
    /// Status and fields with which a caller is refused.
    std::function<http::response_head(const node::refuse&)> refusal;
    /// Whether a request at the backend server's port is for the local API.
    std::function<bool(const http::request_head&)> is_local_call;
    std::function<local_call(const http::request_head&, std::string_view body)> read_local_call;
    /// Calls that it leaves unknown are tried as calls of the system's own operators' interface.
    std::function<operator_call(const http::request_head&, std::string_view body)>
        read_operator_call;
};

} // namespace damaskladder::daemon
