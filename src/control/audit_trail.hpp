#pragma once

#include "control/audit_anchor.hpp"
#include "control/audit_fault.hpp"
#include "control/audit_query.hpp"
#include "control/audit_record.hpp"
#include "control/table_limits.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace damaskladder::control {

/// The latest audit records, chained by hash. When the trail is full, the oldest record is dropped
/// and its position in the chain becomes the anchor from which the remaining records are verified.
class audit_trail {
public:
    explicit audit_trail(const table_limits& limits) : m_limits(limits) {}

    /// Sets the record's sequence number and hashes and appends it.
    void append(audit_record record);

    const std::deque<audit_record>& records() const { return m_records; }
    /// Position before the oldest record kept.
    const audit_anchor& anchor() const { return m_anchor; }
    /// Position of the newest record.
    const audit_anchor& head() const { return m_head; }

    std::vector<audit_record> find(const audit_query& query) const;
    std::optional<audit_fault> verify() const;

    /// Restores the trail from a snapshot. Returns false if a record does not follow the one before
    /// it. The hashes are not recomputed: verify does that, and the log storage checks the
    /// snapshot's bytes.
    bool restore(const audit_anchor& anchor, std::vector<audit_record> records);

private:
    bool is_linked() const;
    void drop_oldest_beyond_limits();

    table_limits m_limits;
    std::deque<audit_record> m_records;
    base::byte_count m_size;
    audit_anchor m_anchor;
    audit_anchor m_head;
};

} // namespace damaskladder::control
