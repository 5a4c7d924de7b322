#include "retry/dedup_table.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::retry {

dedup_table::dedup_table(dedup_options options) : m_options(options) {}

dedup_result dedup_table::on_request(const request_identity& identity,
                                     const base::content_hash& content, waiter_id waiter,
                                     base::time_point now)
{
    expire(now);
    auto [found, is_new] = m_entries.try_emplace(identity);
    dedup_entry& entry = found->second;
    if (is_new) {
        entry.content = content;
        entry.waiting.push_back(waiter);
        return {dedup_verdict::run, nullptr};
    }
    if (entry.content != content) {
        return {dedup_verdict::conflict, nullptr};
    }
    if (entry.answer) {
        return {dedup_verdict::replay, entry.answer};
    }
    if (entry.waiting.size() > m_options.max_waiting) {
        return {dedup_verdict::too_many, nullptr};
    }
    entry.waiting.push_back(waiter);
    return {dedup_verdict::joined, nullptr};
}

std::vector<waiter_id> dedup_table::on_answer(const request_identity& identity,
                                              std::shared_ptr<const kept_answer> answer,
                                              base::time_point now)
{
    if (!answer || answer->size() > m_options.max_answer_size.value()) {
        return on_refused(identity);
    }
    auto found = m_entries.find(identity);
    if (found == m_entries.end() || found->second.answer) {
        return {};
    }
    dedup_entry& entry = found->second;
    std::vector<waiter_id> released(entry.waiting.begin() + 1, entry.waiting.end());
    entry.waiting.clear();
    m_cached_bytes += cost(*answer);
    entry.answer = std::move(answer);
    entry.expires_at = now + m_options.answer_lifetime;
    m_answers_by_age.push_back(identity);
    while (m_cached_bytes > m_options.max_total_size) {
        evict_oldest();
    }
    return released;
}

std::vector<waiter_id> dedup_table::on_refused(const request_identity& identity)
{
    auto found = m_entries.find(identity);
    if (found == m_entries.end() || found->second.answer) {
        return {};
    }
    const auto& waiting = found->second.waiting;
    std::vector<waiter_id> released(waiting.begin() + 1, waiting.end());
    m_entries.erase(found);
    return released;
}

std::optional<waiter_id> dedup_table::on_caller_gone(const request_identity& identity,
                                                     waiter_id waiter)
{
    auto found = m_entries.find(identity);
    if (found == m_entries.end() || found->second.answer) {
        return std::nullopt;
    }
    auto& waiting = found->second.waiting;
    const bool was_running = waiting.front() == waiter;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), waiter), waiting.end());
    if (waiting.empty()) {
        m_entries.erase(found);
        return std::nullopt;
    }
    return was_running ? std::optional(waiting.front()) : std::nullopt;
}

bool dedup_table::has_answer(const request_identity& identity) const
{
    auto found = m_entries.find(identity);
    return found != m_entries.end() && found->second.answer;
}

void dedup_table::expire(base::time_point now)
{
    while (!m_answers_by_age.empty() && m_entries.at(m_answers_by_age.front()).expires_at <= now) {
        evict_oldest();
    }
}

void dedup_table::evict_oldest()
{
    auto found = m_entries.find(m_answers_by_age.front());
    m_cached_bytes -= cost(*found->second.answer);
    m_entries.erase(found);
    m_answers_by_age.pop_front();
}

base::byte_count dedup_table::cost(const kept_answer& answer) const
{
    return base::byte_count(answer.size()) + m_options.entry_overhead;
}

} // namespace damaskladder::retry
