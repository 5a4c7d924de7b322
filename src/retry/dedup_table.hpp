#pragma once

#include "base/content_hash.hpp"
#include "base/time.hpp"
#include "retry/dedup_entry.hpp"
#include "retry/dedup_options.hpp"
#include "retry/dedup_result.hpp"
#include "retry/request_identity.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::retry {

/// Requests with request ids that callers of this node sent of late.
class dedup_table {
public:
    explicit dedup_table(dedup_options options);

    /// A request came in. After repeat_verdict::run, answered(), dropped() or left() ends it.
    dedup_result on_request(const request_identity& identity, const base::content_hash& content,
                            waiter_id waiter, base::time_point now);

    /// The running request was answered. Keeps the answer, if there is one within the bound, and
    /// returns the repeats that waited, without the running one.
    std::vector<waiter_id> on_answer(const request_identity& identity,
                                     std::shared_ptr<const kept_answer> answer,
                                     base::time_point now);

    /// The running request was refused. Returns the repeats that waited; a later one runs anew.
    std::vector<waiter_id> on_refused(const request_identity& identity);

    /// The caller of a request or of a repeat has gone. If it was the one whose request runs and
    /// others wait, returns the one that the running request belongs to now.
    std::optional<waiter_id> on_caller_gone(const request_identity& identity, waiter_id waiter);

    /// Forgets answers that have been kept long enough.
    void expire(base::time_point now);

    /// The answer to this request is kept.
    bool has_answer(const request_identity& identity) const;

    base::byte_count cached_bytes() const { return m_cached_bytes; }
    std::size_t size() const { return m_entries.size(); }

private:
    using entry_map = std::unordered_map<request_identity, dedup_entry, request_identity_hash>;

    void evict_oldest();
    base::byte_count cost(const kept_answer& answer) const;

    dedup_options m_options;
    entry_map m_entries;
    /// Identities of kept answers, oldest first.
    std::deque<request_identity> m_answers_by_age;
    base::byte_count m_cached_bytes;
};

} // namespace damaskladder::retry
