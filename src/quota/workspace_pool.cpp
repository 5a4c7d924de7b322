#include "quota/workspace_pool.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::quota {

namespace {

/// An ended session is kept this long, so that delayed duplicates of its lines do not begin a new
/// one.
constexpr base::duration session_retention = std::chrono::seconds(10);

/// Sessions are checked for expiry at this interval.
constexpr base::duration session_check_interval = std::chrono::milliseconds(50);

/// A transfer that was acknowledged is resent this many times less often, until it is final.
constexpr int received_resend_factor = 5;

/// Absorbing foreign tokens leaves headroom for the accrual of this time.
constexpr base::duration headroom_reserve_time = std::chrono::milliseconds(100);

/// Amount by which a peer may have more than estimated.
constexpr tokens estimate_error(1'000);

/// Requested from each peer in addition to its part, so that an estimate that is slightly too low
/// does not cost another round.
constexpr tokens request_margin(one_token.value() / 8);

/// A domain whose headroom exceeds the average by at least 1/64 of the burst requests tokens from
/// fuller domains.
constexpr std::int64_t rebalance_threshold_divisor = 64;

/// The latest request is kept for at most this many borrowers.
constexpr std::size_t max_borrowers = 64;

} // namespace

workspace_pool::workspace_pool(quota_options options, holder_id self, workspace_quota quota,
                               base::time_point start)
    : m_options(options),
      m_self(std::move(self)),
      m_quota(std::move(quota)),
      m_lease_end(start),
      m_account(start)
{
}

void workspace_pool::set_limits(const workspace_quota& quota, token_rate rate, tokens bound,
                                base::time_point now)
{
    m_account.advance(now);
    m_quota = quota;
    m_account.set_limits(rate, bound);
}

void workspace_pool::set_peers(const std::vector<holder_id>& peers, base::time_point now)
{
    std::vector<peer_state> states;
    for (const auto& peer : peers) {
        if (const auto* known = find_peer(peer)) {
            states.push_back(*known);
            continue;
        }
        const auto assumed = m_quota.burst.value() / static_cast<std::int64_t>(peers.size());
        states.push_back({peer, tokens(assumed), now, {}, false});
    }
    m_peers = std::move(states);
}

void workspace_pool::on_line(const base::node_id& node, base::incarnation incarnation,
                             const borrow_line& line, base::time_point now, holder_effects& effects)
{
    advance(now, effects);
    auto* session = session_for(node, incarnation, line);
    if (session == nullptr || line.sequence < session->sequence) {
        return;
    }
    if (session->ended) {
        effects.send_line(node, incarnation,
                          {m_quota.workspace, line.session, line.sequence, tokens(0), {}, {}});
        return;
    }
    if (line.sequence > session->sequence) {
        apply_totals(*session, line, now);
        settle_incoming_transfers(now, effects);
        if (line.closed) {
            end_session(*session);
        }
        else if (!session->pending) {
            session->pending = true;
            session->pending_since = now;
            m_pending.push_back(node);
        }
    }
    else if (!session->pending) {
        reply(node, *session, m_options.min_retry_after, now, effects);
    }
    serve(now, effects);
}

void workspace_pool::on_transfer_request(const transfer_request& request, base::time_point now,
                                         holder_effects& effects)
{
    advance(now, effects);
    for (const auto& out : m_outgoing) {
        if (out.message.borrower == request.borrower && out.message.number == request.number) {
            effects.send(request.borrower.node, out.message);
            return;
        }
    }
    if (!is_new_request(request)) {
        return;
    }
    tokens amount(0);
    if (!m_stopped && m_pending.empty()) {
        amount = std::min(m_account.balance(), std::max(tokens(0), request.demand));
        const auto spare = (m_account.balance() - amount - prefetch_target(now)).value() / 2;
        amount += std::clamp(request.prefetch, tokens(0), tokens(std::max<std::int64_t>(0, spare)));
    }
    m_account.debit(amount);
    const auto valid_for = std::min(m_options.transfer_lifetime, m_lease_end - now);
    const transfer message{m_self, request.borrower,    request.number, request.workspace,
                           amount, m_account.balance(), valid_for};
    if (amount > tokens(0)) {
        m_outgoing.push_back(
            {message, now + valid_for, now + m_options.transfer_resend, false, tokens(0)});
    }
    effects.send(request.borrower.node, message);
}

void workspace_pool::on_transfer(const transfer& message, base::time_point now,
                                 holder_effects& effects)
{
    advance(now, effects);
    for (const auto& in : m_incoming) {
        if (in.message.lender == message.lender && in.message.number == message.number) {
            effects.send(message.lender.node, in.ack(now));
            return;
        }
    }
    const auto sent = std::find_if(m_past_rounds.begin(), m_past_rounds.end(),
                                   [&](const auto& r) { return r.number == message.number; });
    if (sent == m_past_rounds.end()) {
        return;
    }
    const auto deadline = sent->sent_at + m_options.drift.shortened(message.valid_for);
    if (now >= deadline) {
        return;
    }
    if (auto* peer = find_peer(message.lender)) {
        peer->available = message.available;
        peer->known_at = now;
        peer->awaited = peer->awaited && m_round && m_round->number != message.number;
    }
    if (message.amount > tokens(0)) {
        // Tokens lent to nodes expire at the earliest deadline of the transfers held at that time.
        // A transfer with an earlier deadline would have to shorten that, so it is returned at
        // once.
        const bool expires_early =
            std::any_of(m_incoming.begin(), m_incoming.end(), [&](const auto& in) {
                return in.unabsorbed > tokens(0) && in.deadline > deadline;
            });
        incoming_transfer in{message, now, deadline, message.amount, tokens(0), {}};
        if (expires_early) {
            std::swap(in.unabsorbed, in.returned);
        }
        else {
            m_account.credit_foreign(message.amount);
        }
        effects.send(message.lender.node, in.ack(now));
        m_incoming.push_back(std::move(in));
    }
    serve(now, effects);
}

void workspace_pool::on_transfer_ack(const transfer_ack& ack, base::time_point now,
                                     holder_effects& effects)
{
    advance(now, effects);
    const auto found =
        std::find_if(m_outgoing.begin(), m_outgoing.end(), [&](const outgoing_transfer& out) {
            return out.message.borrower == ack.borrower && out.message.number == ack.number;
        });
    if (found == m_outgoing.end()) {
        return;
    }
    found->received = true;
    const auto absorbed = std::clamp(ack.absorbed_total, found->absorbed, found->message.amount);
    const auto since = now - m_options.drift.shortened(ack.absorbed_age);
    m_account.record_use(absorbed - found->absorbed, since);
    found->absorbed = absorbed;
    if (ack.final) {
        const auto returned = std::clamp(ack.returned, tokens(0), found->counted());
        m_account.credit_back(returned);
        m_account.write_off(found->counted() - returned);
        m_outgoing.erase(found);
    }
    serve(now, effects);
}

void workspace_pool::on_time(base::time_point now, holder_effects& effects)
{
    advance(now, effects);
    resend_transfers(now, effects);
    serve(now, effects);
}

bool workspace_pool::drained(base::time_point now) const
{
    const bool lent = std::any_of(m_sessions.begin(), m_sessions.end(), [&](const auto& entry) {
        return entry.second.outstanding() > tokens(0) && now < entry.second.valid_until;
    });
    const bool transferred = std::any_of(m_outgoing.begin(), m_outgoing.end(),
                                         [&](const auto& out) { return now < out.write_off_at; });
    return !lent && !transferred;
}

bool workspace_pool::busy() const
{
    return m_round.has_value() || !m_pending.empty();
}

std::vector<base::node_id> workspace_pool::nodes() const
{
    std::vector<base::node_id> nodes;
    for (const auto& [node, session] : m_sessions) {
        if (!session.ended) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

/// Updates all time-dependent state to `now`.
void workspace_pool::advance(base::time_point now, holder_effects& effects)
{
    m_account.advance(now);
    end_expired_sessions(now);
    write_off_transfers(now);
    settle_incoming_transfers(now, effects);
    end_round_if_answered(now);
    while (!m_past_rounds.empty() &&
           now >= m_past_rounds.front().sent_at + m_options.transfer_lifetime) {
        m_past_rounds.pop_front();
    }
}

void workspace_pool::end_session(node_session& session)
{
    m_account.write_off(session.outstanding());
    session.ended = true;
    session.pending = false;
}

void workspace_pool::end_expired_sessions(base::time_point now)
{
    // Checking all sessions costs more than a lend. Until the check, tokens of expired sessions
    // stay counted, which is safe.
    if (now < m_next_session_check) {
        return;
    }
    m_next_session_check = now + session_check_interval;
    for (auto& [node, session] : m_sessions) {
        if (!session.ended && !session.pending && now >= session.valid_until) {
            end_session(session);
        }
    }
    std::erase_if(m_sessions, [&](const auto& entry) {
        return entry.second.ended && now >= entry.second.valid_until + session_retention;
    });
}

void workspace_pool::write_off_transfers(base::time_point now)
{
    std::erase_if(m_outgoing, [&](const outgoing_transfer& out) {
        if (now < out.write_off_at) {
            return false;
        }
        m_account.write_off(out.counted());
        return true;
    });
}

void workspace_pool::settle_incoming_transfers(base::time_point now, holder_effects& effects)
{
    for (auto& in : m_incoming) {
        const auto before = in.unabsorbed;
        settle_incoming_transfer(in, now);
        if (in.unabsorbed != before) {
            effects.send(in.message.lender.node, in.ack(now));
        }
    }
    while (!m_incoming.empty() && now >= m_incoming.front().deadline) {
        m_incoming.pop_front();
    }
}

/// Absorbs foreign tokens as far as there is headroom, and returns those that stay unused.
void workspace_pool::settle_incoming_transfer(incoming_transfer& in, base::time_point now)
{
    if (in.unabsorbed == tokens(0)) {
        return;
    }
    if (now >= in.deadline) {
        const auto lost = std::min(m_account.balance(), in.unabsorbed);
        m_account.drop_foreign(lost);
        m_account.absorb(in.unabsorbed - lost, now);
        in.unabsorbed = tokens(0);
        return;
    }
    const bool half_elapsed = now >= in.received_at + (in.deadline - in.received_at) / 2;
    const auto reserve = half_elapsed
                             ? tokens(0)
                             : std::min(tokens(m_account.bound().value() / 4),
                                        tokens_in(m_account.rate(), headroom_reserve_time));
    const auto room = std::max(tokens(0), m_account.headroom() - reserve);
    const auto absorbed = std::min(in.unabsorbed, room);
    if (absorbed > tokens(0)) {
        const auto since = m_account.absorb(absorbed, now);
        in.absorbed_since = std::max(in.absorbed_since, since);
        in.unabsorbed -= absorbed;
    }
    if (now >= in.received_at + m_options.transfer_idle_time) {
        const auto returned = std::min(m_account.balance(), in.unabsorbed);
        m_account.drop_foreign(returned);
        in.returned += returned;
        in.unabsorbed -= returned;
    }
}

/// Finds or begins the session of a line. Returns null if the line belongs to an earlier session.
node_session* workspace_pool::session_for(const base::node_id& node, base::incarnation incarnation,
                                          const borrow_line& line)
{
    const auto [found, added] = m_sessions.try_emplace(node);
    auto& session = found->second;
    if (!added) {
        if (incarnation == session.incarnation && line.session == session.session) {
            return &session;
        }
        const bool newer = incarnation != session.incarnation ? incarnation > session.incarnation
                                                              : line.session > session.session;
        if (!newer) {
            return nullptr;
        }
        end_session(session);
    }
    session = node_session{};
    session.incarnation = incarnation;
    session.session = line.session;
    session.ended = line.received_total > tokens(0);
    return &session;
}

void workspace_pool::apply_totals(node_session& session, const borrow_line& line,
                                  base::time_point now)
{
    session.sequence = line.sequence;
    const auto when = now - m_options.drift.shortened(line.used_age);
    const auto slot = line.sequence.value() % node_session::kept_reports;
    session.reports[slot] = {line.sequence, when};
    const bool plausible = line.used_total >= session.used &&
                           line.returned_total >= session.returned &&
                           line.received_total <= session.lent &&
                           line.used_total + line.returned_total <= line.received_total;
    if (plausible) {
        m_account.record_use(line.used_total - session.used, when);
        m_account.credit_back(line.returned_total - session.returned);
        session.used = line.used_total;
        session.returned = line.returned_total;
        apply_refunds(session, line);
    }
    const auto in_flight = session.lent - std::min(session.lent, line.received_total);
    const auto demand = std::clamp(line.demand, tokens(0), max_tokens);
    const auto prefetch = std::clamp(line.prefetch, tokens(0), max_tokens);
    session.demand = std::max(tokens(0), demand - in_flight);
    session.prefetch = std::max(tokens(0), prefetch - std::max(tokens(0), in_flight - demand));
}

void workspace_pool::apply_refunds(node_session& session, const borrow_line& line)
{
    const auto amount = line.refunded_total - session.refunded;
    if (amount <= tokens(0) || line.refunded_total > session.used) {
        return;
    }
    session.refunded = line.refunded_total;
    const node_session::report* first = nullptr;
    for (const auto& report : session.reports) {
        const bool candidate = report.sequence >= line.refund_since &&
                               (first == nullptr || report.sequence < first->sequence);
        first = candidate ? &report : first;
    }
    // If the report that refund_since names may have been overwritten, the time of use is unknown
    // and nothing is credited.
    const bool kept =
        line.refund_since.value() > 0 &&
        line.refund_since.value() + node_session::kept_reports > line.sequence.value();
    if (kept && first != nullptr) {
        m_account.refund(amount, first->used_by);
    }
}

/// Answers waiting nodes in order of arrival, while the balance suffices or no more tokens can be
/// expected in time.
void workspace_pool::serve(base::time_point now, holder_effects& effects)
{
    while (!m_pending.empty()) {
        const auto node = m_pending.front();
        const auto found = m_sessions.find(node);
        if (found == m_sessions.end() || !found->second.pending) {
            m_pending.pop_front();
            continue;
        }
        auto& session = found->second;
        const bool insufficient = m_account.balance() < session.demand && !m_stopped;
        if (insufficient && m_round) {
            return;
        }
        const bool may_wait = now < session.pending_since + m_options.accrual_wait;
        if (insufficient && may_wait && start_round(pending_shortage(), tokens(0), now, effects)) {
            return;
        }
        if (insufficient && accrues_in_time(session, now)) {
            return;
        }
        m_pending.pop_front();
        lend_to(node, session, now, effects);
    }
    request_prefetch(now, effects);
    rebalance(now, effects);
}

/// Whether the fleet accrues the missing tokens while the node's demand may still wait.
bool workspace_pool::accrues_in_time(const node_session& session, base::time_point now) const
{
    const auto wait = time_for(session.demand - m_account.balance(), m_quota.rate);
    return now + std::min(wait, m_options.accrual_wait) <
           session.pending_since + m_options.accrual_wait;
}

void workspace_pool::lend_to(const base::node_id& node, node_session& session, base::time_point now,
                             holder_effects& effects)
{
    tokens amount(0);
    if (!m_stopped) {
        amount = whole(std::min(m_account.balance(), session.demand));
        if (amount == session.demand && m_pending.empty()) {
            const auto spare = tokens((m_account.balance() - amount).value() / 2);
            amount += whole(std::min(session.prefetch, spare));
        }
    }
    m_account.debit(amount);
    session.lent += amount;
    m_outflow.add(amount, now);
    session.pending = false;
    const auto missing = session.demand - std::min(amount, session.demand);
    base::duration wait{};
    if (missing > tokens(0)) {
        session.starved_until = now + m_options.max_retry_after;
        wait = retry_after(missing, now);
    }
    reply(node, session, wait, now, effects);
}

void workspace_pool::reply(const base::node_id& node, node_session& session,
                           base::duration retry_after, base::time_point now,
                           holder_effects& effects)
{
    const auto until = validity();
    session.valid_until = std::max(session.valid_until, until);
    effects.send_line(node, session.incarnation,
                      {m_quota.workspace, session.session, session.sequence, session.lent,
                       until - now, retry_after});
}

/// Until when tokens lent now may be used: not beyond the lease, and not beyond the time at which
/// the lender of foreign tokens stops counting them.
base::time_point workspace_pool::validity() const
{
    auto until = m_lease_end;
    for (const auto& in : m_incoming) {
        if (in.unabsorbed > tokens(0)) {
            until = std::min(until, in.deadline);
        }
    }
    return until;
}

/// A refused node may ask again once the fleet has accrued a token for each recently refused node.
base::duration workspace_pool::retry_after(tokens missing, base::time_point now) const
{
    const auto starved =
        std::count_if(m_sessions.begin(), m_sessions.end(),
                      [&](const auto& entry) { return now < entry.second.starved_until; });
    const auto wait = time_for(std::min(missing, one_token * starved), m_quota.rate);
    return std::clamp(wait, m_options.min_retry_after, m_options.max_retry_after);
}

tokens workspace_pool::pending_shortage() const
{
    tokens demand(0);
    for (const auto& node : m_pending) {
        const auto found = m_sessions.find(node);
        if (found != m_sessions.end() && found->second.pending) {
            demand += found->second.demand;
        }
    }
    return std::max(tokens(0), demand - m_account.balance());
}

tokens workspace_pool::prefetch_target(base::time_point now) const
{
    // Capped at the configured rate: a burst exceeds it only briefly, and tokens prefetched for
    // more would stay unused.
    return tokens_in(std::min(m_outflow.rate(now), m_quota.rate), m_options.prefetch_time(m_quota));
}

/// Requests tokens from other domains before the balance runs out, if use exceeds this domain's
/// rate.
void workspace_pool::request_prefetch(base::time_point now, holder_effects& effects)
{
    const auto target = prefetch_target(now);
    const bool low = m_account.balance() < tokens(target.value() / 2);
    const bool above_own_rate = m_outflow.rate(now) > m_account.rate();
    if (low && above_own_rate && !m_round && !m_stopped) {
        start_round(tokens(0), target - m_account.balance(), now, effects);
    }
}

/// Requests tokens from the other domains in proportion to their estimated balances. Returns false
/// if they cannot have enough for one more request.
bool workspace_pool::start_round(tokens demand, tokens prefetch, base::time_point now,
                                 holder_effects& effects)
{
    tokens expected(0);
    for (const auto& peer : m_peers) {
        expected += estimate_available(peer, now);
    }
    const auto max_expected = expected + estimate_error * static_cast<std::int64_t>(m_peers.size());
    if (expected <= tokens(0) ||
        whole(m_account.balance() + max_expected) <= whole(m_account.balance())) {
        return false;
    }
    open_round(now);
    for (auto& peer : m_peers) {
        const auto weight = static_cast<double>(estimate_available(peer, now).value()) /
                            static_cast<double>(expected.value());
        const auto part = [&](tokens amount) {
            const auto exact = static_cast<double>(amount.value()) * weight;
            return std::min(amount, tokens(static_cast<std::int64_t>(exact)) + request_margin);
        };
        if (weight > 0) {
            request_from_peer(peer, part(demand), part(prefetch), effects);
        }
    }
    return true;
}

void workspace_pool::open_round(base::time_point now)
{
    m_last_round = transfer_number(m_last_round.value() + 1);
    m_round = peer_round{m_last_round, now};
    m_past_rounds.push_back(*m_round);
}

void workspace_pool::request_from_peer(peer_state& peer, tokens demand, tokens prefetch,
                                       holder_effects& effects)
{
    peer.awaited = true;
    effects.send(peer.holder.node, transfer_request{m_self, peer.holder, m_last_round,
                                                    m_quota.workspace, demand, prefetch});
}

/// Requests tokens from domains that are about to reach their bound, so that all domains fill up at
/// the same time. A full domain accrues nothing, even while other domains have headroom.
void workspace_pool::rebalance(base::time_point now, holder_effects& effects)
{
    if (m_round || m_stopped || m_peers.empty() || now < m_next_rebalance) {
        return;
    }
    const auto count = static_cast<std::int64_t>(m_peers.size());
    const tokens peer_bound((m_quota.burst - m_account.bound()).value() / count);
    const token_rate peer_rate((m_quota.rate - m_account.rate()).value() / count);
    const auto imminent_accrual = tokens_in(peer_rate, m_options.prefetch_window);
    const auto headroom_of = [&](const peer_state& peer) {
        return now < peer.backoff_until
                   ? peer_bound
                   : std::max(tokens(0), peer_bound - estimate_available(peer, now));
    };
    tokens room = m_account.headroom();
    bool any_full = false;
    for (const auto& peer : m_peers) {
        room += headroom_of(peer);
        any_full = any_full || headroom_of(peer) < imminent_accrual;
    }
    const tokens even_headroom(room.value() / (count + 1));
    const tokens min_difference(m_quota.burst.value() / rebalance_threshold_divisor);
    if (!any_full || m_account.headroom() - even_headroom < min_difference) {
        return;
    }
    m_next_rebalance = now + m_options.prefetch_window;
    open_round(now);
    for (auto& peer : m_peers) {
        if (even_headroom > headroom_of(peer)) {
            request_from_peer(peer, tokens(0), even_headroom - headroom_of(peer), effects);
        }
    }
}

void workspace_pool::end_round_if_answered(base::time_point now)
{
    const bool waiting =
        std::any_of(m_peers.begin(), m_peers.end(), [](const auto& peer) { return peer.awaited; });
    if (!m_round || (waiting && now < m_round->sent_at + m_options.peer_timeout)) {
        return;
    }
    for (auto& peer : m_peers) {
        if (peer.awaited) {
            peer.awaited = false;
            peer.backoff_until = now + m_options.peer_backoff;
        }
    }
    m_round.reset();
}

/// Estimates a peer's balance: the balance it last reported plus its accrual since, on the
/// assumption that all peers accrue at the same rate.
tokens workspace_pool::estimate_available(const peer_state& peer, base::time_point now) const
{
    if (now < peer.backoff_until) {
        return tokens(0);
    }
    const auto rate =
        (m_quota.rate - m_account.rate()).value() / static_cast<std::int64_t>(m_peers.size());
    const auto accrued =
        tokens_in(token_rate(std::max<std::int64_t>(0, rate)), now - peer.known_at);
    return std::min(m_quota.burst, peer.available + accrued);
}

peer_state* workspace_pool::find_peer(const holder_id& holder)
{
    const auto found = std::find_if(m_peers.begin(), m_peers.end(),
                                    [&](const auto& peer) { return peer.holder == holder; });
    return found == m_peers.end() ? nullptr : &*found;
}

bool workspace_pool::is_new_request(const transfer_request& request)
{
    if (m_last_requests.size() >= max_borrowers &&
        !m_last_requests.contains(request.borrower.node)) {
        m_last_requests.erase(m_last_requests.begin());
    }
    const auto [found, added] = m_last_requests.try_emplace(request.borrower.node, request);
    const auto& last = found->second;
    const bool same = last.borrower == request.borrower;
    const bool newer = same ? request.number > last.number
                            : request.borrower.incarnation > last.borrower.incarnation ||
                                  (request.borrower.incarnation == last.borrower.incarnation &&
                                   request.borrower.epoch > last.borrower.epoch);
    if (!added && !newer) {
        return false;
    }
    found->second = request;
    return true;
}

void workspace_pool::resend_transfers(base::time_point now, holder_effects& effects)
{
    for (auto& out : m_outgoing) {
        if (now >= out.resend_at) {
            const auto factor = out.received ? received_resend_factor : 1;
            out.resend_at = now + m_options.transfer_resend * factor;
            effects.send(out.message.borrower.node, out.message);
        }
    }
}

} // namespace damaskladder::quota
