#pragma once

#include "control/audit_anchor.hpp"
#include "control/audit_fault.hpp"
#include "control/audit_query.hpp"
#include "control/audit_record.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace damaskladder::control {

/// The latest audit records, chained by hash. When it is full the oldest record is dropped, and its
/// place in the chain becomes the anchor from which the rest is verified.
class audit_trail {
public:
    explicit audit_trail(std::size_t max_records) : m_max_records(max_records) {}

    /// Fills in sequence and hashes.
    void append(audit_record record);

    const std::deque<audit_record>& records() const { return m_records; }
    /// Place before the oldest record kept.
    const audit_anchor& anchor() const { return m_anchor; }
    /// Place of the newest record.
    const audit_anchor& head() const { return m_head; }

    std::vector<audit_record> find(const audit_query& query) const;
    std::optional<audit_fault> verify() const;

    /// For restoring a snapshot. False if a record does not follow the one before it. Does not hash
    /// the records again: that is the business of verify, and the log storage checks the snapshot's
    /// bytes.
    bool restore(const audit_anchor& anchor, std::vector<audit_record> records);

private:
    bool is_linked() const;

    std::size_t m_max_records;
    std::deque<audit_record> m_records;
    audit_anchor m_anchor;
    audit_anchor m_head;
};

} // namespace damaskladder::control
