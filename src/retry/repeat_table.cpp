#include "retry/repeat_table.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::retry {

repeat_table::repeat_table(repeat_options options) : m_options(options) {}

repeat_result repeat_table::arrived(const request_identity& identity,
                                    const base::content_hash& content, waiter_id waiter,
                                    base::time_point now)
{
    expire(now);
    auto [found, is_new] = m_entries.try_emplace(identity);
    repeat_entry& entry = found->second;
    if (is_new) {
        entry.content = content;
        entry.waiting.push_back(waiter);
        return {repeat_verdict::run, nullptr};
    }
    if (entry.content != content) {
        return {repeat_verdict::conflict, nullptr};
    }
    if (entry.answer) {
        return {repeat_verdict::replay, entry.answer};
    }
    if (entry.waiting.size() > m_options.most_waiting) {
        return {repeat_verdict::too_many, nullptr};
    }
    entry.waiting.push_back(waiter);
    return {repeat_verdict::joined, nullptr};
}

std::vector<waiter_id> repeat_table::answered(const request_identity& identity,
                                              std::shared_ptr<const kept_answer> answer,
                                              base::time_point now)
{
    if (!answer || answer->size() > m_options.largest_answer.value()) {
        return dropped(identity);
    }
    auto found = m_entries.find(identity);
    if (found == m_entries.end() || found->second.answer) {
        return {};
    }
    repeat_entry& entry = found->second;
    std::vector<waiter_id> waited(entry.waiting.begin() + 1, entry.waiting.end());
    entry.waiting.clear();
    m_kept += cost(*answer);
    entry.answer = std::move(answer);
    entry.expires = now + m_options.keep;
    m_by_age.push_back(identity);
    while (m_kept > m_options.most_kept) {
        forget_oldest();
    }
    return waited;
}

std::vector<waiter_id> repeat_table::dropped(const request_identity& identity)
{
    auto found = m_entries.find(identity);
    if (found == m_entries.end() || found->second.answer) {
        return {};
    }
    const auto& waiting = found->second.waiting;
    std::vector<waiter_id> waited(waiting.begin() + 1, waiting.end());
    m_entries.erase(found);
    return waited;
}

std::optional<waiter_id> repeat_table::left(const request_identity& identity, waiter_id waiter)
{
    auto found = m_entries.find(identity);
    if (found == m_entries.end() || found->second.answer) {
        return std::nullopt;
    }
    auto& waiting = found->second.waiting;
    const bool ran = waiting.front() == waiter;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), waiter), waiting.end());
    if (waiting.empty()) {
        m_entries.erase(found);
        return std::nullopt;
    }
    return ran ? std::optional(waiting.front()) : std::nullopt;
}

bool repeat_table::holds(const request_identity& identity) const
{
    auto found = m_entries.find(identity);
    return found != m_entries.end() && found->second.answer;
}

void repeat_table::expire(base::time_point now)
{
    while (!m_by_age.empty() && m_entries.at(m_by_age.front()).expires <= now) {
        forget_oldest();
    }
}

void repeat_table::forget_oldest()
{
    auto found = m_entries.find(m_by_age.front());
    m_kept -= cost(*found->second.answer);
    m_entries.erase(found);
    m_by_age.pop_front();
}

base::byte_count repeat_table::cost(const kept_answer& answer) const
{
    return base::byte_count(answer.size()) + m_options.entry_cost;
}

} // namespace damaskladder::retry
