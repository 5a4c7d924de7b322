#pragma once

#include "base/change_id.hpp"
#include "control/cached_reply.hpp"
#include "control/row_size.hpp"
#include "control/table_limits.hpp"

#include <deque>
#include <unordered_map>
#include <utility>

namespace damaskladder::control {

/// Replies to the latest changes, by change id. The oldest reply is evicted when the cache is full.
/// A resend after that is evaluated again and gets a conflict, since it is based on an old version.
class reply_cache {
public:
    explicit reply_cache(const table_limits& limits) : m_limits(limits) {}

    const cached_reply* find(const base::change_id& change) const
    {
        auto found = m_replies.find(change);
        return found == m_replies.end() ? nullptr : &found->second;
    }

    void insert(cached_reply cached)
    {
        const auto change = cached.change;
        m_size += row_size(cached);
        const auto [place, is_new] = m_replies.try_emplace(change);
        if (is_new) {
            m_order.push_back(change);
        }
        else {
            m_size -= row_size(place->second);
        }
        place->second = std::move(cached);
        while (m_limits.exceeded_by(m_order.size(), m_size)) {
            drop_oldest();
        }
    }

    /// Oldest first.
    const std::deque<base::change_id>& order() const { return m_order; }

private:
    void drop_oldest()
    {
        const auto oldest = m_replies.find(m_order.front());
        m_size -= row_size(oldest->second);
        m_replies.erase(oldest);
        m_order.pop_front();
    }

    table_limits m_limits;
    base::byte_count m_size;
    std::unordered_map<base::change_id, cached_reply> m_replies;
    std::deque<base::change_id> m_order;
};

} // namespace damaskladder::control
