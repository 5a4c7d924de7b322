#pragma once

#include "control/audit_anchor.hpp"
#include "control/audit_fault.hpp"
#include "control/audit_record.hpp"

#include <optional>
#include <string_view>

namespace damaskladder::control {

/// Verifies a chain record by record, for files that are too large to hold in memory.
///
/// Start at an anchor: the position before the first record, or before the first one kept in a
/// rotated trail. Pass the head of the chain from a control replica to finish(); otherwise records
/// cut off at the end and chains rewritten as a whole go undetected.
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
