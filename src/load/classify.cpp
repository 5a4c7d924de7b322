#include "load/classify.hpp"

#include "http/header_names.hpp"

#include <algorithm>

namespace damaskladder::load {

namespace {

// Longer reasons are truncated, because reasons are keys in the report.
constexpr std::size_t max_reason_size = 40;

refusal_reason reason_of(const http::response_head& head)
{
    const auto* text = head.headers.find(http::header_names::reason);
    auto reason_text = text == nullptr ? std::string() : text->substr(0, max_reason_size);
    // Control characters sent by a server must not reach the terminal.
    const auto is_unprintable = [](char c) { return c <= ' ' || c >= '\x7f'; };
    std::replace_if(reason_text.begin(), reason_text.end(), is_unprintable, '?');
    return refusal_reason(std::move(reason_text));
}

result_class classify_complete(const http::response_head& head)
{
    const auto* outcome = head.headers.find(http::header_names::outcome);
    if (outcome != nullptr && *outcome == "not-run") {
        return result_class::refused_not_run;
    }
    if (outcome != nullptr && *outcome == "unknown") {
        return result_class::refused_unknown;
    }
    constexpr int first_ok = 200;
    constexpr int after_ok = 300;
    const bool ok = head.status >= first_ok && head.status < after_ok;
    return ok && outcome == nullptr ? result_class::success : result_class::other_status;
}

} // namespace

request_result classify(const http::transfer_result& end,
                        const std::optional<http::response_head>& head)
{
    if (end.completion == http::transfer_result::kind::not_sent) {
        return {result_class::not_connected, {}};
    }
    if (end.completion != http::transfer_result::kind::complete || !head) {
        return {result_class::broken, {}};
    }
    return {classify_complete(*head), reason_of(*head)};
}

bool is_refusal(result_class result)
{
    return result == result_class::refused_not_run || result == result_class::refused_unknown;
}

} // namespace damaskladder::load
