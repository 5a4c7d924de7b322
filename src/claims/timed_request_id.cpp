#include "claims/timed_request_id.hpp"

#include <algorithm>
#include <charconv>

namespace damaskladder::claims {

namespace {

/// Sufficient until the year 5138, and small enough that the time in microseconds does not
/// overflow.
constexpr std::size_t max_digits = 11;

base::result<timed_request_id> invalid(const std::string& text)
{
    return base::fail(base::failure_kind::invalid_argument, "parse request id", {},
                      text + "; the form is <unix seconds>-<opaque>");
}

} // namespace

base::result<timed_request_id> timed_request_id::parse(const base::request_id& id)
{
    const auto& text = id.value();
    if (text.size() > max_length) {
        return base::fail(base::failure_kind::too_large, "parse request id", {},
                          "longer than 128 characters");
    }
    const auto dash = text.find('-');
    if (dash == std::string::npos || dash == 0 || dash > max_digits) {
        return invalid("no time of 1 to 11 digits before a dash");
    }
    std::int64_t seconds = 0;
    const auto* end = text.data() + dash;
    const auto parsed = std::from_chars(text.data(), end, seconds);
    if (parsed.ec != std::errc{} || parsed.ptr != end || seconds <= 0 || text.front() == '0') {
        return invalid("the time is not a positive number");
    }
    const auto opaque = text.substr(dash + 1);
    const auto visible = [](char c) { return c > ' ' && c <= '~'; };
    if (opaque.empty() || !std::all_of(opaque.begin(), opaque.end(), visible)) {
        return invalid("the opaque part is empty or has characters that are not visible ASCII");
    }
    return timed_request_id{base::wall_time(std::chrono::seconds(seconds)), opaque};
}

request_id_age timed_request_id::age(base::wall_time now, base::wall_clock::duration retention,
                                     base::wall_clock::duration max_ahead) const
{
    if (time + retention <= now) {
        return request_id_age::too_old;
    }
    return time > now + max_ahead ? request_id_age::in_future : request_id_age::usable;
}

} // namespace damaskladder::claims
