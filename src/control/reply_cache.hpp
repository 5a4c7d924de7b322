#pragma once

#include "base/change_id.hpp"
#include "control/cached_reply.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace damaskladder::control {

/// Replies to the latest changes, by change id. The oldest reply is evicted when the cache is full.
/// A resend after that is evaluated again and gets a conflict, since it is based on an old version.
class reply_cache {
public:
    explicit reply_cache(std::size_t max_cached_replies) : m_max_replies(max_cached_replies) {}

    const cached_reply* find(const base::change_id& change) const
    {
        auto found = m_replies.find(change);
        return found == m_replies.end() ? nullptr : &found->second;
    }

    void insert(cached_reply cached)
    {
        auto change = cached.change;
        if (!m_replies.insert_or_assign(change, std::move(cached)).second) {
            return;
        }
        m_order.push_back(change);
        while (m_order.size() > m_max_replies) {
            m_replies.erase(m_order.front());
            m_order.pop_front();
        }
    }

    /// Oldest first.
    const std::deque<base::change_id>& order() const { return m_order; }

private:
    std::size_t m_max_replies;
    std::unordered_map<base::change_id, cached_reply> m_replies;
    std::deque<base::change_id> m_order;
};

} // namespace damaskladder::control
