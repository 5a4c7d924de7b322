#include "daemon/own_dialect.hpp"

#include "daemon/announcement_parser.hpp"
#include "daemon/importance_name.hpp"
#include "daemon/outcome_name.hpp"
#include "daemon/request_parser.hpp"
#include "http/header_names.hpp"

namespace damaskladder::daemon {

namespace {

std::string name(std::string_view header)
{
    return std::string(header);
}

void address_backend_server(http::header_list& headers, const backend_call& call)
{
    headers.add(name(http::header_names::context), call.seal_context());
    headers.add(name(http::header_names::importance),
                std::string(to_string(call.context.importance)));
    headers.add(name(http::header_names::timeout), std::to_string(call.milliseconds_left()));
}

http::response_head refusal(const node::refuse& wanted)
{
    http::response_head head;
    head.status = wanted.status.value();
    head.headers.add(name(http::header_names::outcome),
                     std::string(to_string(wanted.reported_outcome)));
    head.headers.add(name(http::header_names::reason), std::string(to_string(wanted.reason)));
    if (wanted.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*wanted.retry_after).count();
        head.headers.add(name(http::header_names::retry_after), std::to_string(seconds));
    }
    return head;
}

local_call announcement(local_call::kind what, std::string_view body)
{
    return base::handle_failure(
        [&]() -> base::result<local_call> {
            BOOST_LEAF_AUTO(offer, parse_announcement(body));
            return local_call{what, std::move(offer), {}};
        },
        [](const base::failure& error) {
            return local_call{local_call::kind::malformed, {}, error.text};
        });
}

local_call read_local_call(const http::request_head& head, std::string_view body)
{
    const bool put = head.method == "PUT";
    if (head.target == "/-/announce" && put) {
        return announcement(local_call::kind::announce, body);
    }
    if (head.target == "/-/announce" && head.method == "DELETE") {
        return announcement(local_call::kind::withdraw, body);
    }
    if (head.target == "/-/drain" && put) {
        return announcement(local_call::kind::drain, body);
    }
    if (head.target == "/-/health") {
        return {local_call::kind::health, {}, {}};
    }
    if (head.target == "/-/ready") {
        return {local_call::kind::ready, {}, {}};
    }
    if (head.target == "/-/metrics") {
        return {local_call::kind::metrics, {}, {}};
    }
    return {};
}

} // namespace

dialect own_dialect()
{
    dialect own;
    own.read_request = parse_request;
    own.remove_system_fields = [](http::header_list&) {};
    own.address_backend_server = address_backend_server;
    own.check_response = [](const auto&, const auto&) { return response_verdict::matches; };
    own.read_backend_state = [](const auto&) { return std::nullopt; };
    own.refusal = refusal;
    own.is_local_call = [](const http::request_head& head) {
        return head.target.substr(0, 3) == "/-/";
    };
    own.read_local_call = read_local_call;
    own.read_operator_call = [](const auto&, auto) { return operator_call(); };
    return own;
}

} // namespace damaskladder::daemon
