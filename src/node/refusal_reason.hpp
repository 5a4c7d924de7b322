#pragma once

#include "node/status_code.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace damaskladder::node {

/// Why a request was refused. The order is that of the status codes.
enum class refusal_reason : std::uint8_t {
    /// Malformed or missing header field.
    bad_request,
    /// A non-idempotent request has no valid request id.
    request_id_required,
    /// The chain of calls is longer than the limit.
    too_deep,
    /// The route is not open and the request has no key.
    key_required,
    /// No workspace has the key.
    unknown_key,
    /// The route does not admit the workspace of the key.
    key_not_allowed,
    /// The key has been withdrawn.
    key_withdrawn,
    /// An onward call names a call that does not run on this node.
    parent_not_running,
    /// No route matches the path.
    no_route,
    /// The request id was used with other content.
    other_content,
    /// The request completed with a response that is no longer kept.
    already_answered,
    /// Another attempt of the request may have run.
    claim_held,
    /// The body is larger than the route permits.
    too_large,
    /// The workspace is above its rate.
    rate,
    /// The backend server failed or closed its connection.
    backend_failed,
    /// The connection to the gatekeeper broke before it responded.
    answer_lost,
    /// The gatekeeper has no capacity left for the importance or the share of the request.
    shed,
    /// The backend server itself refused to run the request.
    backend_shed,
    /// The backend server has named a rate, and the request would exceed it.
    backend_limit,
    /// No backend server of the service is announced.
    no_backend_server,
    /// No connection could be established.
    unreachable,
    /// The backend server is draining or being removed.
    draining,
    /// The failure domain of the backend server is evacuated.
    evacuated,
    /// The node is stopping.
    stopping,
    /// The settings are too old to validate the request.
    stale_settings,
    /// No claim could be obtained in time.
    claim_unavailable,
    /// The time budget is exhausted.
    deadline,
    /// The caller closed its connection.
    caller_gone,
};

/// Returns the value of Damaskladder-Reason for a reason.
std::string_view to_string(refusal_reason reason);

/// Returns the reason for a value of Damaskladder-Reason; empty if the value is unknown.
std::optional<refusal_reason> parse_refusal_reason(std::string_view word);

/// Returns the HTTP status that is sent with a reason.
status_code status_of(refusal_reason reason);

} // namespace damaskladder::node
