#include "consensus/snapshot_receiver.hpp"

#include <utility>

namespace damaskladder::consensus {

void snapshot_receiver::add(const replica_identity& from, const snapshot_chunk& chunk)
{
    if (chunk.total > m_limit || chunk.total < base::byte_count(0)) {
        return;
    }
    if (!continues(from, chunk)) {
        m_from = from;
        m_term = chunk.term;
        m_total = chunk.total;
        m_partial = {chunk.last_index, chunk.last_term, chunk.members, {}};
        m_complete = false;
    }
    const auto size = base::byte_count(static_cast<std::int64_t>(chunk.data.size()));
    if (chunk.offset != next_offset() || next_offset() + size > m_total) {
        return;
    }
    m_partial.state += chunk.data;
    m_complete = next_offset() == m_total;
}

base::byte_count snapshot_receiver::next_offset() const
{
    return base::byte_count(static_cast<std::int64_t>(m_partial.state.size()));
}

std::shared_ptr<const snapshot> snapshot_receiver::take()
{
    auto completed = std::make_shared<const snapshot>(std::move(m_partial));
    m_partial = {};
    m_from = {};
    m_complete = false;
    return completed;
}

bool snapshot_receiver::continues(const replica_identity& from, const snapshot_chunk& chunk) const
{
    return m_from == from && m_term == chunk.term && m_total == chunk.total &&
           m_partial.last_index == chunk.last_index && m_partial.last_term == chunk.last_term;
}

} // namespace damaskladder::consensus
