#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "quota/borrow_line.hpp"
#include "quota/domain_share.hpp"
#include "quota/holder_effects.hpp"
#include "quota/incoming_transfer.hpp"
#include "quota/node_session.hpp"
#include "quota/outgoing_transfer.hpp"
#include "quota/peer_round.hpp"
#include "quota/peer_state.hpp"
#include "quota/quota_options.hpp"
#include "quota/token_account.hpp"
#include "quota/transfer_ack.hpp"
#include "quota/transfer_request.hpp"
#include "quota/usage_estimate.hpp"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::quota {

/// All tokens of one workspace in one domain, for one term of the domain's lease.
///
/// The lease must be held at `now` in every call.
class workspace_pool {
public:
    workspace_pool(quota_options options, holder_id self, workspace_quota quota,
                   base::time_point start);

    /// Sets the quota of the whole fleet, and the rate and bound of this domain's share of it.
    void set_limits(const workspace_quota& quota, token_rate rate, tokens bound,
                    base::time_point now);

    void set_peers(const std::vector<holder_id>& peers, base::time_point now);

    void set_lease_end(base::time_point end) { m_lease_end = end; }

    void on_line(const base::node_id& node, base::incarnation incarnation, const borrow_line& line,
                 base::time_point now, holder_effects& effects);

    void on_transfer_request(const transfer_request& request, base::time_point now,
                             holder_effects& effects);

    void on_transfer(const transfer& message, base::time_point now, holder_effects& effects);

    void on_transfer_ack(const transfer_ack& ack, base::time_point now, holder_effects& effects);

    void on_time(base::time_point now, holder_effects& effects);

    /// Stops lending and transferring tokens.
    void stop() { m_stopped = true; }

    /// Whether no token lent or transferred in this lease term can still be used elsewhere.
    bool drained(base::time_point now) const;

    /// Whether on_time() must be called within milliseconds.
    bool busy() const;

    tokens balance() const { return m_account.balance(); }

    /// Nodes with an open session, which a recall must reach.
    std::vector<base::node_id> nodes() const;

private:
    using session_map = std::unordered_map<base::node_id, node_session>;

    void advance(base::time_point now, holder_effects& effects);
    void end_session(node_session& session);
    void end_expired_sessions(base::time_point now);
    void write_off_transfers(base::time_point now);
    void settle_incoming_transfers(base::time_point now, holder_effects& effects);
    void settle_incoming_transfer(incoming_transfer& in, base::time_point now);
    node_session* session_for(const base::node_id& node, base::incarnation incarnation,
                              const borrow_line& line);
    void apply_totals(node_session& session, const borrow_line& line, base::time_point now);
    void apply_refunds(node_session& session, const borrow_line& line);
    void serve(base::time_point now, holder_effects& effects);
    bool accrues_in_time(const node_session& session, base::time_point now) const;
    void lend_to(const base::node_id& node, node_session& session, base::time_point now,
                 holder_effects& effects);
    void reply(const base::node_id& node, node_session& session, base::duration retry_after,
               base::time_point now, holder_effects& effects);
    base::time_point validity() const;
    base::duration retry_after(tokens missing, base::time_point now) const;
    tokens pending_shortage() const;
    tokens prefetch_target(base::time_point now) const;
    void request_prefetch(base::time_point now, holder_effects& effects);
    void resend_transfers(base::time_point now, holder_effects& effects);
    bool start_round(tokens demand, tokens prefetch, base::time_point now, holder_effects& effects);
    void open_round(base::time_point now);
    void request_from_peer(peer_state& peer, tokens demand, tokens prefetch,
                           holder_effects& effects);
    void rebalance(base::time_point now, holder_effects& effects);
    void end_round_if_answered(base::time_point now);
    tokens estimate_available(const peer_state& peer, base::time_point now) const;
    peer_state* find_peer(const holder_id& holder);
    bool is_new_request(const transfer_request& request);

    quota_options m_options;
    holder_id m_self;
    workspace_quota m_quota;
    base::time_point m_lease_end;
    bool m_stopped = false;
    token_account m_account;
    usage_estimate m_outflow;
    session_map m_sessions;
    base::time_point m_next_session_check;
    /// Nodes whose demand is not yet answered, in order of arrival.
    std::deque<base::node_id> m_pending;
    std::vector<outgoing_transfer> m_outgoing;
    std::deque<incoming_transfer> m_incoming;
    std::vector<peer_state> m_peers;
    /// The latest request of each borrower. Requests that are not newer are duplicates.
    std::map<base::node_id, transfer_request> m_last_requests;
    transfer_number m_last_round;
    std::optional<peer_round> m_round;
    std::deque<peer_round> m_past_rounds;
    base::time_point m_next_rebalance;
};

} // namespace damaskladder::quota
