#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "base/random_source.hpp"
#include "base/time.hpp"
#include "lease/lease_options.hpp"
#include "lease/lease_send.hpp"

#include <map>
#include <set>
#include <vector>

namespace damaskladder::lease {

/// One incarnation of a process that tries to acquire the lease of one resource.
///
/// The hold starts when the requests that won a majority were sent and lasts for the lease duration
/// shortened by the drift. It ends without an event, so check holds() immediately before each
/// action that requires the lease.
class lease_candidate {
public:
    lease_candidate(lease_options options, base::node_id self, base::incarnation incarnation,
                    lease_resource resource, std::vector<base::node_id> voters,
                    base::random_source random);

    /// Starts to request the lease, and requests it again after each loss until release().
    lease_effects acquire(base::time_point now);

    /// Stops holding and requesting immediately, and releases the voters' grants.
    lease_effects release(base::time_point now);

    lease_effects on_reply(const lease_reply& reply, base::time_point now);

    /// Another candidate has said that it holds the lease. Delays the next request by
    /// options.quiet_after_notice, so that candidates do not ask in vain; a renewal is not delayed.
    void on_holder_notice(base::time_point now);

    /// Handles renewals, timeouts and retries. Call at next_timer(); calls at other times are
    /// harmless.
    lease_effects on_timer(base::time_point now);

    bool holds(base::time_point now) const;

    /// End of the lease on the local clock; valid if holds().
    base::time_point held_until() const { return m_held_until; }

    /// Identifies this acquisition; valid if holds().
    lease_epoch epoch() const { return m_epoch; }

    /// Time at which on_timer() is due; time_point::max() if nothing is pending.
    base::time_point next_timer() const;

private:
    enum class state { idle, backing_off, requesting, holding };

    struct round {
        base::time_point sent_at;
        std::set<base::node_id> granted;
    };

    void expire(base::time_point now, lease_effects& effects);
    void start_requesting(base::time_point now, lease_effects& effects);
    void send_round(base::time_point now, lease_effects& effects);
    void abandon_epoch(lease_effects& effects);
    void back_off(base::time_point now);
    bool is_voter(const base::node_id& node) const;
    void on_granted(const lease_reply& reply, base::time_point now);
    void on_refused(const lease_reply& reply, base::time_point now, lease_effects& effects);
    std::size_t majority() const { return m_voters.size() / 2 + 1; }
    base::duration jitter(base::duration up_to);

    lease_options m_options;
    base::node_id m_self;
    base::incarnation m_incarnation;
    lease_resource m_resource;
    std::vector<base::node_id> m_voters;
    base::random_source m_random;

    state m_state = state::idle;
    lease_epoch m_epoch;
    lease_epoch m_highest_seen;
    lease_round m_last_round;
    std::map<lease_round, round> m_rounds;
    std::set<base::node_id> m_refused;
    /// Longest retry_in of the refusals in this epoch.
    base::duration m_retry_in{};
    int m_failed_attempts = 0;
    base::time_point m_next_timer;
    base::time_point m_quiet_until;
    base::time_point m_held_until;
};

} // namespace damaskladder::lease
