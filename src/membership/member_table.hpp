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

/// Newest record of every known node of one failure domain, tombstones included. Merging is
/// commutative and idempotent, so that order and repetition of messages do not matter. Holds at
/// most the given number of records; a full table gives up its oldest tombstone first.
class member_table {
public:
    explicit member_table(std::size_t capacity);

    merge_verdict merge(const member_record& record, base::time_point now);

    /// Drops tombstones older than retention. Returns how many.
    std::size_t drop_tombstones(base::time_point now, base::duration retention);

    /// Drops a node altogether.
    void erase(const base::node_id& node);

    /// Null if the node is unknown.
    const member_record* find(const base::node_id& node) const;
    /// As find, but null for tombstones too.
    const member_record* find_alive(const base::node_id& node) const;

    /// Alive nodes in the order of their ids, which is their rank.
    std::vector<base::node_id> alive() const;
    /// The alive nodes of lowest rank, at most count.
    std::vector<base::node_id> first_alive(std::size_t count) const;
    /// Alive records that announce a wanted service.
    std::vector<member_record> matching_records(const service_subscription& subscription) const;
    /// Digest over wanted_records().
    table_digest matching_digest(const service_subscription& subscription) const;
    /// When the record of a known node last changed; the epoch for an unknown one.
    base::time_point changed_at(const base::node_id& node) const;
    /// Nodes marked dead. Nodes that left are not listed.
    std::vector<base::node_id> dead() const;
    /// All records in the order of their ids.
    std::vector<member_record> records() const;
    /// All records, tombstones included, of the buckets whose digests differ.
    std::vector<member_record> differing_records(const bucket_digests& other) const;

    /// Over alive records only: a tombstone on one side and no knowledge on the other are equal.
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
