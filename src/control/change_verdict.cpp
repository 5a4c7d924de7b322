#include "control/change_verdict.hpp"

#include <array>
#include <cstddef>

namespace damaskladder::control {

std::string_view to_string(change_verdict verdict)
{
    constexpr std::array<std::string_view, change_verdict_count> names = {
        "accepted",   "unchanged",         "pending",         "conflict",         "invalid",
        "malformed",  "permission_denied", "review_required", "not_found",        "closed",
        "exists",     "last_admin",        "too_many",        "change_id_reused", "out_of_order",
        "last_domain"};
    auto index = static_cast<std::size_t>(verdict);
    return index < names.size() ? names[index] : "unknown";
}

} // namespace damaskladder::control
