#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

/// Kind of fault in an audit trail.
enum class audit_fault_kind : std::uint8_t {
    /// The contents of the record do not match the hash chain.
    altered,
    /// A record is missing, possibly at the end of the trail.
    missing,
    /// The line is not an audit record.
    unreadable,
};

std::string_view to_string(audit_fault_kind kind);

} // namespace damaskladder::control
