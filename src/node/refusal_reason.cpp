#include "node/refusal_reason.hpp"

#include <array>

namespace damaskladder::node {
namespace {

struct reason_row {
    refusal_reason reason;
    std::string_view word;
    std::uint16_t status;
};

constexpr std::array<reason_row, 28> reason_rows{{
    {refusal_reason::bad_request, "bad-request", 400},
    {refusal_reason::request_id_required, "request-id-required", 400},
    {refusal_reason::too_deep, "too-deep", 400},
    {refusal_reason::key_required, "key-required", 401},
    {refusal_reason::unknown_key, "unknown-key", 401},
    {refusal_reason::key_not_allowed, "key-not-allowed", 403},
    {refusal_reason::key_withdrawn, "key-withdrawn", 403},
    {refusal_reason::parent_not_running, "parent-not-running", 403},
    {refusal_reason::no_route, "no-route", 404},
    {refusal_reason::other_content, "other-content", 409},
    {refusal_reason::already_answered, "already-answered", 409},
    {refusal_reason::claim_held, "claim-held", 409},
    {refusal_reason::too_large, "too-large", 413},
    {refusal_reason::rate, "rate", 429},
    {refusal_reason::backend_failed, "backend-failed", 502},
    {refusal_reason::answer_lost, "answer-lost", 502},
    {refusal_reason::shed, "shed", 503},
    {refusal_reason::backend_shed, "backend-shed", 503},
    {refusal_reason::backend_limit, "backend-limit", 503},
    {refusal_reason::no_backend_server, "no-backend-server", 503},
    {refusal_reason::unreachable, "unreachable", 503},
    {refusal_reason::draining, "draining", 503},
    {refusal_reason::evacuated, "evacuated", 503},
    {refusal_reason::stopping, "stopping", 503},
    {refusal_reason::stale_settings, "stale-settings", 503},
    {refusal_reason::claim_unavailable, "claim-unavailable", 503},
    {refusal_reason::deadline, "deadline", 504},
    {refusal_reason::caller_gone, "caller-gone", 504},
}};

const reason_row& row_of(refusal_reason reason)
{
    return reason_rows.at(static_cast<std::size_t>(reason));
}

} // namespace

std::string_view to_string(refusal_reason reason)
{
    return row_of(reason).word;
}

std::optional<refusal_reason> parse_refusal_reason(std::string_view word)
{
    for (const auto& row : reason_rows) {
        if (row.word == word) {
            return row.reason;
        }
    }
    return std::nullopt;
}

status_code status_of(refusal_reason reason)
{
    return status_code(row_of(reason).status);
}

} // namespace damaskladder::node
