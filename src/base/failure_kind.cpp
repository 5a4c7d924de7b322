#include "base/failure_kind.hpp"

namespace damaskladder::base {

std::string_view to_string(failure_kind kind)
{
    switch (kind) {
    case failure_kind::invalid_argument:
        return "invalid_argument";
    case failure_kind::not_found:
        return "not_found";
    case failure_kind::conflict:
        return "conflict";
    case failure_kind::permission_denied:
        return "permission_denied";
    case failure_kind::not_leader:
        return "not_leader";
    case failure_kind::unavailable:
        return "unavailable";
    case failure_kind::timeout:
        return "timeout";
    case failure_kind::too_large:
        return "too_large";
    case failure_kind::corrupt:
        return "corrupt";
    case failure_kind::io:
        return "io";
    case failure_kind::no_space:
        return "no_space";
    case failure_kind::cancelled:
        return "cancelled";
    case failure_kind::internal:
        return "internal";
    }
    return "unknown";
}

} // namespace damaskladder::base
