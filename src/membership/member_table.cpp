#include "membership/member_table.hpp"

#include "membership/stable_hash.hpp"

namespace damaskladder::membership {

namespace {

std::size_t bucket_of(const base::node_id& node)
{
    return stable_hash(node.value(), 0) % bucket_digests::count;
}

merge_verdict verdict_of(const member_record& before, const member_record& after)
{
    if (after.status != member_status::alive) {
        return merge_verdict::removed;
    }
    if (before.status != member_status::alive || before.incarnation != after.incarnation) {
        return merge_verdict::added;
    }
    return differs_for_callers(before, after) ? merge_verdict::updated : merge_verdict::load_only;
}

} // namespace

member_table::member_table(std::size_t capacity) : m_capacity(capacity) {}

merge_verdict member_table::merge(const member_record& record, base::time_point now)
{
    auto found = m_entries.find(record.node);
    if (found != m_entries.end()) {
        if (!supersedes(record, found->second.record)) {
            return merge_verdict::ignored;
        }
        const merge_verdict verdict = verdict_of(found->second.record, record);
        update_totals(found->second.record, false);
        found->second = entry{record, now};
        update_totals(record, true);
        return verdict;
    }
    if (m_entries.size() >= m_capacity && !evict_oldest_tombstone()) {
        return merge_verdict::refused_full;
    }
    m_entries.emplace(record.node, entry{record, now});
    update_totals(record, true);
    return record.status == member_status::alive ? merge_verdict::added : merge_verdict::removed;
}

bool member_table::evict_oldest_tombstone()
{
    auto oldest = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if (it->second.record.status == member_status::alive) {
            continue;
        }
        if (oldest == m_entries.end() || it->second.changed < oldest->second.changed) {
            oldest = it;
        }
    }
    if (oldest == m_entries.end()) {
        return false;
    }
    m_entries.erase(oldest);
    return true;
}

void member_table::update_totals(const member_record& record, bool present)
{
    if (record.status != member_status::alive) {
        return;
    }
    const table_digest digest = digest_of(record);
    table_digest& bucket = m_buckets.digests[bucket_of(record.node)];
    m_digest = toggled(m_digest, digest);
    bucket = toggled(bucket, digest);
    m_alive = present ? m_alive + 1 : m_alive - 1;
}

std::size_t member_table::drop_tombstones(base::time_point now, base::duration retention)
{
    return std::erase_if(m_entries, [&](const auto& item) {
        const entry& held = item.second;
        return held.record.status != member_status::alive && now - held.changed > retention;
    });
}

void member_table::erase(const base::node_id& node)
{
    auto found = m_entries.find(node);
    if (found == m_entries.end()) {
        return;
    }
    update_totals(found->second.record, false);
    m_entries.erase(found);
}

const member_record* member_table::find(const base::node_id& node) const
{
    auto found = m_entries.find(node);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

const member_record* member_table::find_alive(const base::node_id& node) const
{
    const member_record* record = find(node);
    return record != nullptr && record->status == member_status::alive ? record : nullptr;
}

std::vector<base::node_id> member_table::alive() const
{
    std::vector<base::node_id> nodes;
    nodes.reserve(m_alive);
    for (const auto& [node, held] : m_entries) {
        if (held.record.status == member_status::alive) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::vector<base::node_id> member_table::first_alive(std::size_t count) const
{
    std::vector<base::node_id> nodes;
    for (auto it = m_entries.begin(); it != m_entries.end() && nodes.size() < count; ++it) {
        if (it->second.record.status == member_status::alive) {
            nodes.push_back(it->first);
        }
    }
    return nodes;
}

std::vector<member_record>
member_table::matching_records(const service_subscription& subscription) const
{
    std::vector<member_record> found;
    for (const auto& [node, held] : m_entries) {
        if (held.record.status == member_status::alive && subscription.matches(held.record)) {
            found.push_back(held.record);
        }
    }
    return found;
}

table_digest member_table::matching_digest(const service_subscription& subscription) const
{
    table_digest digest;
    for (const auto& [node, held] : m_entries) {
        if (held.record.status == member_status::alive && subscription.matches(held.record)) {
            digest = toggled(digest, digest_of(held.record));
        }
    }
    return digest;
}

base::time_point member_table::changed_at(const base::node_id& node) const
{
    auto found = m_entries.find(node);
    return found == m_entries.end() ? base::time_point{} : found->second.changed;
}

std::vector<base::node_id> member_table::dead() const
{
    std::vector<base::node_id> nodes;
    for (const auto& [node, held] : m_entries) {
        if (held.record.status == member_status::dead) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::vector<member_record> member_table::records() const
{
    std::vector<member_record> all;
    all.reserve(m_entries.size());
    for (const auto& item : m_entries) {
        all.push_back(item.second.record);
    }
    return all;
}

std::vector<member_record> member_table::differing_records(const bucket_digests& other) const
{
    std::vector<member_record> found;
    for (const auto& [node, held] : m_entries) {
        const std::size_t bucket = bucket_of(node);
        if (m_buckets.digests[bucket] != other.digests[bucket]) {
            found.push_back(held.record);
        }
    }
    return found;
}

} // namespace damaskladder::membership
