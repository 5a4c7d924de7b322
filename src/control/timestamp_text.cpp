#include "control/timestamp_text.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>

namespace damaskladder::control {

namespace {

constexpr base::wall_time first_time{};
// 9999-12-31T23:59:59.999999Z
constexpr base::wall_time last_time{base::wall_clock::duration(253'402'300'799'999'999)};
constexpr std::string_view pattern = "0000-00-00T00:00:00.000000Z";

std::optional<std::int64_t> parse_digits(std::string_view digits)
{
    std::int64_t value = 0;
    for (char c : digits) {
        if (c < '0' || c > '9') {
            return std::nullopt;
        }
        value = value * 10 + (c - '0');
    }
    return value;
}

bool matches_pattern(std::string_view text)
{
    if (text.size() != pattern.size()) {
        return false;
    }
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        bool digit = text[i] >= '0' && text[i] <= '9';
        if (pattern[i] == '0' ? !digit : text[i] != pattern[i]) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string format_timestamp(base::wall_time time)
{
    time = std::clamp(time, first_time, last_time);
    auto since_epoch = time.time_since_epoch();
    auto days = std::chrono::floor<std::chrono::days>(since_epoch);
    std::chrono::year_month_day date{std::chrono::sys_days(days)};
    std::chrono::hh_mm_ss time_of_day(since_epoch - days);
    std::array<char, 64> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(time_of_day.hours().count()),
                  static_cast<int>(time_of_day.minutes().count()),
                  static_cast<int>(time_of_day.seconds().count()),
                  static_cast<int>(time_of_day.subseconds().count()));
    return buffer.data();
}

std::optional<base::wall_time> parse_timestamp(std::string_view text)
{
    if (!matches_pattern(text)) {
        return std::nullopt;
    }
    auto field = [&](std::size_t at, std::size_t size) {
        return parse_digits(text.substr(at, size)).value_or(0);
    };
    std::chrono::year_month_day date(std::chrono::year(static_cast<int>(field(0, 4))),
                                     std::chrono::month(static_cast<unsigned>(field(5, 2))),
                                     std::chrono::day(static_cast<unsigned>(field(8, 2))));
    if (!date.ok() || field(11, 2) > 23 || field(14, 2) > 59 || field(17, 2) > 59) {
        return std::nullopt;
    }
    auto days = std::chrono::sys_days(date).time_since_epoch();
    auto time_of_day = std::chrono::hours(field(11, 2)) + std::chrono::minutes(field(14, 2)) +
                       std::chrono::seconds(field(17, 2)) + std::chrono::microseconds(field(20, 6));
    return base::wall_time(days + time_of_day);
}

} // namespace damaskladder::control
