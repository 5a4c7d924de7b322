#include "control/claim_verdict.hpp"

#include <array>
#include <cstddef>

namespace damaskladder::control {

std::string_view to_string(claim_verdict verdict)
{
    constexpr std::array<std::string_view, claim_verdict_count> names = {
        "granted",       "held",      "done",       "released", "other_content", "too_old",
        "too_far_ahead", "malformed", "table_full", "not_held", "out_of_order"};
    auto index = static_cast<std::size_t>(verdict);
    return index < names.size() ? names[index] : "unknown";
}

} // namespace damaskladder::control
