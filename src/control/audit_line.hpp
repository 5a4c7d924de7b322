#pragma once

#include "control/audit_record.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::control {

/// The record as one line of JSON, without line end.
std::string to_line(const audit_record& record);

/// Nothing if the line is not an audit record. Does not check the hash.
std::optional<audit_record> parse_audit_line(std::string_view line);

/// Hash that the record must have: over its line without the hash, which holds the hash of the
/// record before it.
chain_hash hash_of(const audit_record& record);

} // namespace damaskladder::control
