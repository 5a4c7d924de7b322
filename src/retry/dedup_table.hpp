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

/// Deduplicates requests that carry request ids, across the callers of this node.
class dedup_table {
public:
    explicit dedup_table(dedup_options options);

    /// Handles an incoming request. After dedup_verdict::run, the request ends with on_answer(),
    /// on_refused() or on_caller_gone().
    dedup_result on_request(const request_identity& identity, const base::content_hash& content,
                            waiter_id waiter, base::time_point now);

    /// Handles the answer to the running request: caches it, if it is set and within the size
    /// limit, and returns the waiting repeats without the running request itself.
    std::vector<waiter_id> on_answer(const request_identity& identity,
                                     std::shared_ptr<const kept_answer> answer,
                                     base::time_point now);

    /// Handles the refusal of the running request and returns the waiting repeats. A later repeat
    /// runs as a new request.
    std::vector<waiter_id> on_refused(const request_identity& identity);

    /// Handles the disconnect of the caller of a request or repeat. If its request is the running
    /// one and others wait, returns the caller that takes over the running request.
    std::optional<waiter_id> on_caller_gone(const request_identity& identity, waiter_id waiter);

    /// Removes cached answers that have expired.
    void expire(base::time_point now);

    /// Whether the answer to this request is cached.
    bool has_answer(const request_identity& identity) const;

    base::byte_count cached_bytes() const { return m_cached_bytes; }
    std::size_t size() const { return m_entries.size(); }

private:
    using entry_map = std::unordered_map<request_identity, dedup_entry, request_identity_hash>;

    void evict_oldest();
    base::byte_count cost(const kept_answer& answer) const;

    dedup_options m_options;
    entry_map m_entries;
    /// Identities of the cached answers, oldest first.
    std::deque<request_identity> m_answers_by_age;
    base::byte_count m_cached_bytes;
};

} // namespace damaskladder::retry
