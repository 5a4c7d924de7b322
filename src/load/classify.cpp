#include "load/classify.hpp"

#include "http/header_names.hpp"

#include <algorithm>

namespace damaskladder::load {

namespace {

// Reasons beyond it are cut, since they become keys of the report.
constexpr std::size_t longest_reason = 40;

refusal_word reason_of(const http::response_head& head)
{
    const auto* text = head.headers.find(http::header_names::reason);
    auto word = text == nullptr ? std::string() : text->substr(0, longest_reason);
    // Control characters of a server must not reach the terminal.
    const auto is_odd = [](char c) { return c <= ' ' || c >= '\x7f'; };
    std::replace_if(word.begin(), word.end(), is_odd, '?');
    return refusal_word(std::move(word));
}

result_class kind_of(const http::response_head& head)
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
    return ok && outcome == nullptr ? result_class::whole : result_class::other_status;
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
    return {kind_of(*head), reason_of(*head)};
}

bool is_refusal(result_class result)
{
    return result == result_class::refused_not_run || result == result_class::refused_unknown;
}

} // namespace damaskladder::load
