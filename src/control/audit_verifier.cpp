#include "control/audit_verifier.hpp"

#include "control/audit_line.hpp"

namespace damaskladder::control {

namespace {

audit_sequence next_sequence(audit_sequence sequence)
{
    return audit_sequence(sequence.value() + 1);
}

} // namespace

std::optional<audit_fault> audit_verifier::verify_record(const audit_record& record)
{
    auto expected = next_sequence(m_last.sequence);
    if (record.sequence > expected) {
        return audit_fault{audit_fault_kind::missing, expected};
    }
    bool altered = record.sequence < expected || record.hash != hash_of(record);
    if (altered) {
        return audit_fault{audit_fault_kind::altered, expected};
    }
    if (record.previous != m_last.hash) {
        // This record matches its own hash, so the preceding record is not the one it was chained
        // to.
        auto changed = m_last.sequence.value() == 0 ? expected : m_last.sequence;
        return audit_fault{audit_fault_kind::altered, changed};
    }
    m_last = {record.sequence, record.hash};
    return std::nullopt;
}

std::optional<audit_fault> audit_verifier::verify_line(std::string_view line)
{
    auto record = parse_audit_line(line);
    if (!record) {
        return audit_fault{audit_fault_kind::unreadable, next_sequence(m_last.sequence)};
    }
    return verify_record(*record);
}

std::optional<audit_fault> audit_verifier::finish(const audit_anchor& head) const
{
    if (m_last.sequence < head.sequence) {
        return audit_fault{audit_fault_kind::missing, next_sequence(m_last.sequence)};
    }
    if (m_last != head) {
        return audit_fault{audit_fault_kind::altered, m_last.sequence};
    }
    return std::nullopt;
}

} // namespace damaskladder::control
