#pragma once

#include "base/change_id.hpp"
#include "control/answered_change.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace damaskladder::control {

/// Answers to the latest changes, by change id. The oldest goes when the table is full; a resend
/// later than that is judged anew and, since it names an old version, ends as a conflict.
class answer_table {
public:
    explicit answer_table(std::size_t max_answers) : m_max_answers(max_answers) {}

    const answered_change* find(const base::change_id& change) const
    {
        auto found = m_answers.find(change);
        return found == m_answers.end() ? nullptr : &found->second;
    }

    void insert(answered_change answered)
    {
        auto change = answered.change;
        if (!m_answers.insert_or_assign(change, std::move(answered)).second) {
            return;
        }
        m_order.push_back(change);
        while (m_order.size() > m_max_answers) {
            m_answers.erase(m_order.front());
            m_order.pop_front();
        }
    }

    /// Oldest first.
    const std::deque<base::change_id>& order() const { return m_order; }

private:
    std::size_t m_max_answers;
    std::unordered_map<base::change_id, answered_change> m_answers;
    std::deque<base::change_id> m_order;
};

} // namespace damaskladder::control
