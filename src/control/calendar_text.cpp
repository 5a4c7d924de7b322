#include "control/calendar_text.hpp"

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
constexpr std::string_view form = "0000-00-00T00:00:00.000000Z";

std::optional<std::int64_t> number(std::string_view digits)
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

bool has_form(std::string_view text)
{
    if (text.size() != form.size()) {
        return false;
    }
    for (std::size_t i = 0; i < form.size(); ++i) {
        bool digit = text[i] >= '0' && text[i] <= '9';
        if (form[i] == '0' ? !digit : text[i] != form[i]) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string to_calendar_text(base::wall_time time)
{
    time = std::clamp(time, first_time, last_time);
    auto since_epoch = time.time_since_epoch();
    auto days = std::chrono::floor<std::chrono::days>(since_epoch);
    std::chrono::year_month_day date{std::chrono::sys_days(days)};
    std::chrono::hh_mm_ss clock(since_epoch - days);
    std::array<char, 64> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()),
                  static_cast<int>(clock.subseconds().count()));
    return buffer.data();
}

std::optional<base::wall_time> parse_calendar_text(std::string_view text)
{
    if (!has_form(text)) {
        return std::nullopt;
    }
    auto part = [&](std::size_t at, std::size_t size) {
        return number(text.substr(at, size)).value_or(0);
    };
    std::chrono::year_month_day date(std::chrono::year(static_cast<int>(part(0, 4))),
                                     std::chrono::month(static_cast<unsigned>(part(5, 2))),
                                     std::chrono::day(static_cast<unsigned>(part(8, 2))));
    if (!date.ok() || part(11, 2) > 23 || part(14, 2) > 59 || part(17, 2) > 59) {
        return std::nullopt;
    }
    auto days = std::chrono::sys_days(date).time_since_epoch();
    auto clock = std::chrono::hours(part(11, 2)) + std::chrono::minutes(part(14, 2)) +
                 std::chrono::seconds(part(17, 2)) + std::chrono::microseconds(part(20, 6));
    return base::wall_time(days + clock);
}

} // namespace damaskladder::control
