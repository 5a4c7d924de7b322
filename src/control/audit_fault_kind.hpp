#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

/// What is wrong with an audit trail.
enum class audit_fault_kind : std::uint8_t {
    /// The contents of the record are not those that were hashed.
    altered,
    /// A record is not there, also at the end.
    missing,
    /// The line is not an audit record.
    unreadable,
};

std::string_view to_string(audit_fault_kind kind);

} // namespace damaskladder::control
