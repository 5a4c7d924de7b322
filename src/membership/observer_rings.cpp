#include "membership/observer_rings.hpp"

#include "membership/stable_hash.hpp"

#include <algorithm>
#include <cstdint>

namespace damaskladder::membership {

namespace {

struct ring_position {
    std::uint64_t hash;
    std::size_t member;

    friend auto operator<=>(const ring_position&, const ring_position&) = default;
};

std::vector<ring_position> sorted_ring(const std::vector<base::node_id>& members, std::size_t ring)
{
    std::vector<ring_position> positions;
    positions.reserve(members.size());
    for (std::size_t member = 0; member < members.size(); ++member) {
        positions.push_back({stable_hash(members[member].value(), ring), member});
    }
    std::sort(positions.begin(), positions.end());
    return positions;
}

/// Adds the first successor on the ring that is neither the node itself nor already chosen.
void choose_successor(const std::vector<ring_position>& ring, std::size_t position,
                      std::vector<std::size_t>& chosen)
{
    const std::size_t self = ring[position].member;
    for (std::size_t step = 1; step < ring.size(); ++step) {
        const std::size_t candidate = ring[(position + step) % ring.size()].member;
        if (candidate != self &&
            std::find(chosen.begin(), chosen.end(), candidate) == chosen.end()) {
            chosen.push_back(candidate);
            return;
        }
    }
}

} // namespace

observer_rings::observer_rings(const std::vector<base::node_id>& members, std::size_t ring_count)
{
    std::vector<base::node_id> sorted = members;
    std::sort(sorted.begin(), sorted.end());
    std::vector<std::vector<std::size_t>> chosen(sorted.size());
    for (std::size_t ring = 0; ring < ring_count; ++ring) {
        const std::vector<ring_position> positions = sorted_ring(sorted, ring);
        for (std::size_t position = 0; position < positions.size(); ++position) {
            choose_successor(positions, position, chosen[positions[position].member]);
        }
    }
    for (std::size_t member = 0; member < sorted.size(); ++member) {
        auto& observers = m_observers[sorted[member]];
        for (const std::size_t observer : chosen[member]) {
            observers.push_back(sorted[observer]);
            m_observed[sorted[observer]].push_back(sorted[member]);
        }
    }
}

const std::vector<base::node_id>& observer_rings::observers_of(const base::node_id& node) const
{
    auto found = m_observers.find(node);
    return found == m_observers.end() ? m_empty : found->second;
}

const std::vector<base::node_id>& observer_rings::observed_by(const base::node_id& node) const
{
    auto found = m_observed.find(node);
    return found == m_observed.end() ? m_empty : found->second;
}

} // namespace damaskladder::membership
