#include "consensus/entry_log.hpp"

#include <utility>
#include <variant>

namespace damaskladder::consensus {

entry_log::entry_log(std::shared_ptr<const snapshot> newest, std::vector<entry> entries)
    : m_snapshot(std::move(newest)), m_configurations(1)
{
    if (m_snapshot) {
        m_base_index = m_snapshot->last_index;
        m_base_term = m_snapshot->last_term;
        m_configurations.front() = {m_snapshot->last_index, m_snapshot->members};
    }
    for (entry& each : entries) {
        append(std::move(each));
    }
}

term_number entry_log::last_term() const
{
    return m_entries.empty() ? m_base_term : m_entries.back().term;
}

std::optional<term_number> entry_log::term_at(log_index index) const
{
    if (index == m_base_index) {
        return m_base_term;
    }
    if (index < m_base_index || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const entry& entry_log::at(log_index index) const
{
    return m_entries[entries_between(m_base_index, index) - 1];
}

std::vector<entry> entry_log::copy_from(log_index first, base::byte_count limit) const
{
    std::vector<entry> copied;
    base::byte_count total;
    for (log_index index = first; index <= last_index(); index = index_after(index)) {
        const entry& next = at(index);
        total += size_of(next);
        if (!copied.empty() && total > limit) {
            break;
        }
        copied.push_back(next);
    }
    return copied;
}

void entry_log::append(entry added)
{
    if (const auto* members = std::get_if<configuration>(&added.payload)) {
        m_configurations.push_back({added.index, *members});
    }
    m_size += size_of(added);
    m_entries.push_back(std::move(added));
}

void entry_log::truncate_from(log_index first)
{
    while (!m_entries.empty() && m_entries.back().index >= first) {
        m_size -= size_of(m_entries.back());
        m_entries.pop_back();
    }
    while (m_configurations.size() > 1 && m_configurations.back().index >= first) {
        m_configurations.pop_back();
    }
}

void entry_log::install(std::shared_ptr<const snapshot> received, log_disposition disposition)
{
    m_snapshot = std::move(received);
    if (disposition == log_disposition::discard_all) {
        m_entries.clear();
        m_size = {};
        m_base_index = m_snapshot->last_index;
        m_base_term = m_snapshot->last_term;
    }
    else {
        drop_front(m_snapshot->last_index, m_snapshot->last_term);
    }
    rebuild_configurations();
}

void entry_log::compact(std::shared_ptr<const snapshot> taken, const log_retention& retained)
{
    m_snapshot = std::move(taken);
    log_index new_base = m_snapshot->last_index;
    base::byte_count kept;
    while (new_base > m_base_index) {
        kept += size_of(at(new_base));
        if (kept > retained.max_bytes ||
            entries_between(new_base, m_snapshot->last_index) >= retained.max_entries) {
            break;
        }
        new_base = index_before(new_base);
    }
    drop_front(new_base, *term_at(new_base));
    rebuild_configurations();
}

const configuration& entry_log::members_at(log_index index) const
{
    for (std::size_t i = m_configurations.size(); i > 1; --i) {
        if (m_configurations[i - 1].index <= index) {
            return m_configurations[i - 1].members;
        }
    }
    return m_configurations.front().members;
}

bool entry_log::may_be_voter(const replica_identity& identity, log_index commit_index) const
{
    for (std::size_t i = m_configurations.size(); i > 0; --i) {
        const indexed_configuration& each = m_configurations[i - 1];
        if (each.members.is_voter(identity)) {
            return true;
        }
        if (each.index <= commit_index) {
            return false;
        }
    }
    return false;
}

void entry_log::drop_front(log_index new_base, term_number base_term)
{
    while (!m_entries.empty() && m_entries.front().index <= new_base) {
        m_size -= size_of(m_entries.front());
        m_entries.pop_front();
    }
    m_base_index = new_base;
    m_base_term = base_term;
}

void entry_log::rebuild_configurations()
{
    std::vector<indexed_configuration> retained{{m_snapshot->last_index, m_snapshot->members}};
    for (indexed_configuration& each : m_configurations) {
        if (each.index > m_snapshot->last_index && each.index <= last_index()) {
            retained.push_back(std::move(each));
        }
    }
    m_configurations = std::move(retained);
}

} // namespace damaskladder::consensus
