#include "load/result_class.hpp"

namespace damaskladder::load {

std::string_view to_string(result_class result)
{
    constexpr std::array<std::string_view, result_classes> names = {
        "whole",  "refused-not-run", "refused-unknown", "other-status",
        "broken", "not-connected",   "timed-out",       "withheld"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace damaskladder::load
