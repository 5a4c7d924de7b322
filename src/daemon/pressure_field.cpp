#include "daemon/pressure_field.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace damaskladder::daemon {
namespace {

constexpr double hundredths = 100;
constexpr std::int64_t max_value = 400;

} // namespace

std::string write_pressure(base::load_fraction pressure)
{
    const double clamped =
        std::clamp(pressure.value() * hundredths, 0.0, static_cast<double>(max_value));
    return std::to_string(std::lround(clamped));
}

std::optional<base::load_fraction> read_pressure(const std::string* value)
{
    if (value == nullptr) {
        return std::nullopt;
    }
    std::int64_t count = 0;
    const char* end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, count);
    if (parsed.ec != std::errc() || parsed.ptr != end || count < 0) {
        return std::nullopt;
    }
    return base::load_fraction(static_cast<double>(std::min(count, max_value)) / hundredths);
}

} // namespace damaskladder::daemon
