#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/bucket_digests.hpp"
#include "membership/member_record.hpp"
#include "membership/merge_verdict.hpp"
#include "membership/service_subscription.hpp"
#include "membership/table_digest.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace damaskladder::membership {

/// Newest record of each known node of a failure domain, including tombstones. Merging is
/// commutative and idempotent, so messages may be reordered and duplicated. Holds at most
/// `capacity` records; a full table evicts its oldest tombstone to make room.
class member_table {
public:
    explicit member_table(std::size_t capacity);

    merge_verdict merge(const member_record& record, base::time_point now);

    /// Removes tombstones older than `retention`. Returns their number.
    std::size_t drop_tombstones(base::time_point now, base::duration retention);

    /// Removes a node without leaving a tombstone.
    void erase(const base::node_id& node);

    /// Null if the node is unknown.
    const member_record* find(const base::node_id& node) const;
    /// Null if the node is unknown or has a tombstone.
    const member_record* find_alive(const base::node_id& node) const;

    /// Alive nodes, ordered by id.
    std::vector<base::node_id> alive() const;
    /// The first `count` alive nodes by id, or all if there are fewer.
    std::vector<base::node_id> first_alive(std::size_t count) const;
    /// Alive records that announce a service of the subscription.
    std::vector<member_record> matching_records(const service_subscription& subscription) const;
    /// Digest of matching_records().
    table_digest matching_digest(const service_subscription& subscription) const;
    /// Time of the last change of a node's record; the epoch if the node is unknown.
    base::time_point changed_at(const base::node_id& node) const;
    /// Nodes with status dead, excluding those that left.
    std::vector<base::node_id> dead() const;
    /// All records, ordered by node id.
    std::vector<member_record> records() const;
    /// All records, including tombstones, of the buckets whose digests differ from `other`.
    std::vector<member_record> differing_records(const bucket_digests& other) const;

    /// Digest of the alive records. Tombstones are excluded so that tables that differ only in
    /// retained tombstones have equal digests.
    table_digest digest() const { return m_digest; }
    const bucket_digests& buckets() const { return m_buckets; }

    std::size_t size() const { return m_entries.size(); }
    std::size_t alive_count() const { return m_alive; }

private:
    struct entry {
        member_record record;
        base::time_point changed;
    };

    bool evict_oldest_tombstone();
    void update_totals(const member_record& record, bool present);

    std::size_t m_capacity;
    std::map<base::node_id, entry> m_entries;
    std::size_t m_alive = 0;
    table_digest m_digest;
    bucket_digests m_buckets;
};

} // namespace damaskladder::membership
