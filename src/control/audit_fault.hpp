#pragma once

#include "control/audit_fault_kind.hpp"
#include "control/audit_sequence.hpp"

namespace damaskladder::control {

/// First fault found in an audit trail.
struct audit_fault {
    audit_fault_kind kind = audit_fault_kind::altered;
    /// Record that is altered or missing, or that was expected on the unreadable line.
    audit_sequence sequence;

    friend bool operator==(const audit_fault&, const audit_fault&) = default;
};

} // namespace damaskladder::control
