#pragma once

#include "control/audit_record.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::control {

/// Formats the record as one line of JSON without a line terminator.
std::string to_line(const audit_record& record);

/// Returns nullopt if the line is not an audit record. Does not check the hash.
std::optional<audit_record> parse_audit_line(std::string_view line);

/// Computes the hash of the record from its line without the hash field. The line contains the hash
/// of the preceding record.
chain_hash hash_of(const audit_record& record);

} // namespace damaskladder::control
