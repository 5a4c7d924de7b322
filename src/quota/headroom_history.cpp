#include "quota/headroom_history.hpp"

#include <algorithm>

namespace damaskladder::quota {

void headroom_history::advance(base::time_point now, tokens headroom, tokens dropped,
                               token_rate rate)
{
    const auto next = slot_of(now);
    if (next > m_current) {
        // Headroom only shrinks while tokens accrue, so the current value is the minimum over the
        // gap.
        for (auto i = std::max(m_current + 1, next - slots + 1); i <= next; ++i) {
            at(i) = slot{headroom, tokens(0)};
        }
        m_current = next;
    }
    record_headroom(headroom);
    // Accrual was dropped at the end of the gap, after the bound was reached.
    const auto per_slot = std::max(tokens(1), tokens_in(rate, slot_length));
    for (auto i = m_current; dropped > tokens(0) && i >= oldest(); --i) {
        const auto part = std::min(dropped, per_slot);
        at(i).dropped += part;
        dropped -= part;
    }
}

void headroom_history::record_headroom(tokens headroom)
{
    auto& present = at(m_current);
    present.headroom = std::min(present.headroom, headroom);
}

tokens headroom_history::reclaim(tokens used, base::time_point when)
{
    const auto first = std::max(slot_of(when) + 1, oldest());
    if (used <= tokens(0) || first > m_current) {
        return tokens(0);
    }
    for (auto i = first; i <= m_current; ++i) {
        at(i).headroom += used;
    }
    // Iterates from the latest slot back: credit at a slot reduces the headroom of that slot and of
    // all later ones.
    tokens total(0);
    tokens least = at(m_current).headroom;
    std::array<tokens, static_cast<std::size_t>(slots)> credit{};
    for (auto i = m_current; i >= first; --i) {
        least = std::min(least, at(i).headroom);
        const auto part = std::max(tokens(0), std::min(at(i).dropped, least));
        at(i).dropped -= part;
        credit[static_cast<std::size_t>(i % slots)] = part;
        total += part;
        least -= part;
    }
    tokens running(0);
    for (auto i = first; i <= m_current; ++i) {
        running += credit[static_cast<std::size_t>(i % slots)];
        at(i).headroom -= running;
    }
    return total;
}

tokens headroom_history::refund(tokens amount, base::time_point when)
{
    const auto first = std::min(slot_of(when) + 1, m_current);
    if (first < oldest()) {
        return tokens(0);
    }
    tokens allowed = amount;
    for (auto i = first; i <= m_current; ++i) {
        allowed = std::min(allowed, at(i).headroom);
    }
    allowed = std::max(tokens(0), allowed);
    for (auto i = first; i <= m_current; ++i) {
        at(i).headroom -= allowed;
    }
    return allowed;
}

base::time_point headroom_history::reserve(tokens amount, base::time_point now)
{
    auto since = now;
    for (auto i = m_current; i >= oldest() && at(i).headroom >= amount; --i) {
        at(i).headroom -= amount;
        since = base::time_point((i + 1 - slots) * slot_length);
    }
    return std::min(now, since);
}

std::int64_t headroom_history::slot_of(base::time_point time)
{
    // The offset keeps the index of the oldest slot non-negative for clocks that start at zero.
    return std::max(time, base::time_point{}).time_since_epoch() / slot_length + slots;
}

} // namespace damaskladder::quota
