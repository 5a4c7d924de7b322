#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/member_record.hpp"

#include <map>
#include <vector>

namespace damaskladder::membership {

/// Changed records that a node passes on to its observers at once. An update that comes alone is
/// due immediately. Those that come within `interval` of the last ones are collected and sent
/// together: when a fleet starts, each node passes on the records of all others.
class urgent_updates {
public:
    explicit urgent_updates(base::duration interval) : m_interval(interval) {}

    /// Adds a record that came from `source`; a record of the same node that is still held is
    /// replaced.
    void add(const member_record& record, const base::node_id& source);

    /// Whether take() should be called.
    bool is_due(base::time_point now) const;

    /// A record to be sent to every observer but its source.
    struct update {
        member_record record;
        base::node_id source;
    };

    /// Removes and returns all records, ordered by node.
    std::vector<update> take(base::time_point now);

private:
    base::duration m_interval;
    base::time_point m_next{};
    std::map<base::node_id, update> m_updates;
};

} // namespace damaskladder::membership
