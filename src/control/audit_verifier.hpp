#pragma once

#include "control/audit_anchor.hpp"
#include "control/audit_fault.hpp"
#include "control/audit_record.hpp"

#include <optional>
#include <string_view>

namespace damaskladder::control {

/// Checks a chain record by record, for files that are too large to hold in memory.
///
/// Start it at an anchor: the place before the first record, or where a rotated trail begins. Give
/// finish() the head of the chain from a control replica, or records cut off at the end and chains
/// that were rewritten as a whole go unnoticed.
class audit_verifier {
public:
    explicit audit_verifier(const audit_anchor& start) : m_last(start) {}

    std::optional<audit_fault> verify_record(const audit_record& record);
    std::optional<audit_fault> verify_line(std::string_view line);
    std::optional<audit_fault> finish(const audit_anchor& head) const;

    const audit_anchor& last() const { return m_last; }

private:
    audit_anchor m_last;
};

} // namespace damaskladder::control
