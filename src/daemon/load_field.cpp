#include "daemon/load_field.hpp"

#include "http/header_names.hpp"

#include <charconv>
#include <string_view>

namespace damaskladder::daemon {

namespace {

/// Far above any real value; keeps sums of reported loads from overflowing.
constexpr std::int64_t max_slots = 1'000'000;
constexpr base::duration max_run_time = std::chrono::hours(1);

/// Removes a number from 0 to `highest` from the front of the text.
std::optional<std::int64_t> take_number(std::string_view& text, std::int64_t highest)
{
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || number < 0 || number > highest) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    return number;
}

bool take_separator(std::string_view& text)
{
    const bool found = !text.empty() && text.front() == '/';
    text.remove_prefix(found ? 1 : 0);
    return found;
}

} // namespace

std::string load_field(const routing::load_report& report)
{
    std::string text =
        std::to_string(report.busy.value()) + "/" + std::to_string(report.limit.value());
    if (report.run_time > base::duration::zero()) {
        text += "/" + std::to_string(report.run_time.count());
    }
    return text;
}

std::optional<routing::load_report> read_load(const http::header_list& headers)
{
    const auto* value = headers.find(http::header_names::load);
    if (value == nullptr) {
        return std::nullopt;
    }
    std::string_view text = *value;
    const auto busy = take_number(text, max_slots);
    if (!busy || !take_separator(text)) {
        return std::nullopt;
    }
    const auto limit = take_number(text, max_slots);
    if (!limit || *limit == 0) {
        return std::nullopt;
    }
    routing::load_report report{base::slot_count(*busy), base::slot_count(*limit)};
    if (text.empty()) {
        return report;
    }
    if (!take_separator(text)) {
        return std::nullopt;
    }
    const auto run_time = take_number(text, max_run_time.count());
    if (!run_time || !text.empty()) {
        return std::nullopt;
    }
    report.run_time = base::duration(*run_time);
    return report;
}

} // namespace damaskladder::daemon
