#include "daemon/importance_name.hpp"

#include <array>

namespace damaskladder::daemon {

namespace {

constexpr std::array<std::string_view, base::importance_levels> importance_names = {
    "background", "low", "normal", "critical"};

} // namespace

std::string_view to_string(base::importance level)
{
    return importance_names.at(static_cast<std::size_t>(level));
}

} // namespace damaskladder::daemon
