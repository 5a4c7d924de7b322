#pragma once

#include "base/time.hpp"
#include "control/claim_key.hpp"
#include "control/claim_record.hpp"
#include "control/claim_reply.hpp"
#include "control/claim_request.hpp"
#include "control/complete_claim.hpp"
#include "control/release_claim.hpp"
#include "control/state_options.hpp"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace damaskladder::control {

/// Claims on non-idempotent requests. A claim expires when the time in its request id plus the
/// retention is not after log time. From then on the id is refused, so expiry never lets a request
/// run twice, whatever the clocks of callers show.
class claim_table {
public:
    using container = std::unordered_map<claim_key, claim_record>;

    explicit claim_table(const state_options& options);

    /// Returns the reply that apply would give.
    claim_reply check(const claim_request& request, base::wall_time now) const;
    claim_reply check(const release_claim& request, base::wall_time now) const;
    claim_reply check(const complete_claim& request, base::wall_time now) const;

    claim_reply apply(const claim_request& request, base::wall_time now);
    claim_reply apply(const release_claim& request, base::wall_time now);
    claim_reply apply(const complete_claim& request, base::wall_time now);

    /// Removes expired claims.
    void expire(base::wall_time now);

    const claim_record* find(const claim_key& key) const;
    std::size_t size() const { return m_claims.size(); }

    /// All claims in the order of their keys, for snapshots.
    std::vector<container::const_iterator> sorted() const;
    /// Adds a claim from a snapshot. Returns false if the key is malformed or already present.
    bool insert(const claim_key& key, claim_record record);

private:
    claim_verdict check_key(const claim_key& key, base::wall_time now) const;
    bool is_expired(base::wall_time id_time, base::wall_time now) const;
    /// Does not count claims that expire(now) would remove.
    bool is_full(base::wall_time now) const;
    claim_record& find_or_insert(const claim_key& key);

    base::duration m_retention;
    base::duration m_max_ahead;
    std::size_t m_max_claims;
    std::size_t m_max_released_attempts;
    container m_claims;
    std::map<base::wall_time, std::vector<claim_key>> m_keys_by_time;
};

} // namespace damaskladder::control
