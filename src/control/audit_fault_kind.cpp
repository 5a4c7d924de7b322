#include "control/audit_fault_kind.hpp"

namespace damaskladder::control {

std::string_view to_string(audit_fault_kind kind)
{
    switch (kind) {
    case audit_fault_kind::altered:
        return "altered";
    case audit_fault_kind::missing:
        return "missing";
    case audit_fault_kind::unreadable:
        return "unreadable";
    }
    return "unknown";
}

} // namespace damaskladder::control
