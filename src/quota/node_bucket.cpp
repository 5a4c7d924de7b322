#include "quota/node_bucket.hpp"

#include "quota/headroom_history.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::quota {

namespace {

/// A holder credits no refund that is older than its headroom_history, so older charges are
/// dropped.
constexpr base::duration charge_retention = headroom_history::slot_length * headroom_history::slots;

base::sequence_number next(base::sequence_number sequence)
{
    return base::sequence_number(sequence.value() + 1);
}

} // namespace

node_bucket::node_bucket(quota_options options, workspace_quota quota, base::time_point now)
    : m_options(options),
      m_quota(std::move(quota)),
      m_valid_until(now),
      m_last_take(now),
      m_last_use(now),
      m_last_sent(now),
      m_refuse_until(now)
{
}

take_answer node_bucket::take(base::call_id call, base::time_point deadline, base::time_point now)
{
    m_usage.add(one_token, now);
    if (balance(now) >= one_token) {
        charge_call(call, now);
        return {take_verdict::taken, {}};
    }
    if (now < m_refuse_until) {
        return {take_verdict::refused, m_refuse_until - now};
    }
    if (m_waiting.size() >= m_options.max_waiting || deadline <= now) {
        return {take_verdict::refused, m_options.min_retry_after};
    }
    m_last_take = now;
    m_waiting.push_back({call, std::min(deadline, now + m_options.max_wait), {}});
    return {take_verdict::wait, {}};
}

return_verdict node_bucket::return_token(base::call_id call, base::time_point now,
                                         wait_endings& endings)
{
    const auto found = m_charges.find(call);
    if (found == m_charges.end()) {
        return return_verdict::not_charged;
    }
    const auto charged = found->second;
    m_charges.erase(found);
    if (charged.session != m_session || !valid(now)) {
        return return_verdict::not_charged;
    }
    if (charged.reported_by > m_sequence) {
        // The use was not reported yet, so the holder still counts the token as held by this node.
        m_used -= one_token;
        m_unreported -= one_token;
        grant_waiting(now, endings);
        return return_verdict::returned;
    }
    m_refunded += one_token;
    if (m_refund_since == base::sequence_number{} || charged.reported_by < m_refund_since) {
        m_refund_since = charged.reported_by;
    }
    m_refund_reported_by = next(m_sequence);
    return return_verdict::returned;
}

void node_bucket::settle(base::call_id call)
{
    m_charges.erase(call);
    std::erase_if(m_waiting, [&](const waiting_call& waiter) { return waiter.call == call; });
}

void node_bucket::reset()
{
    m_session = session_number(m_session.value() + 1);
    m_sequence = m_answered = m_refund_since = m_refund_reported_by = base::sequence_number{};
    m_valid_until = base::time_point{};
    m_received = m_used = m_returned = m_refunded = m_unreported = tokens(0);
    for (auto& waiter : m_waiting) {
        waiter.requested_by = base::sequence_number{};
    }
}

bool node_bucket::due(base::time_point now) const
{
    if (awaits_answer(now)) {
        return false;
    }
    if (!m_waiting.empty()) {
        return has_unrequested_call() || now >= m_last_sent + m_options.borrow_timeout;
    }
    if (!valid(now)) {
        return false;
    }
    const bool refund_unreported =
        m_refund_reported_by > m_sequence && now >= m_last_sent + m_options.borrow_timeout;
    const bool unanswered = m_answered < m_sequence;
    const bool low = now >= m_prefetch_after && balance(now) < tokens(target(now).value() / 4);
    const bool report =
        m_unreported > tokens(0) && now >= m_unreported_since + m_options.report_interval;
    const bool idle = outstanding() > tokens(0) && now >= m_last_take + m_options.idle_time;
    return refund_unreported || unanswered || low || report || idle;
}

bool node_bucket::should_piggyback(base::time_point now) const
{
    if (awaits_answer(now) || !valid(now)) {
        return false;
    }
    const bool low = now >= m_prefetch_after && balance(now) < tokens(target(now).value() / 2);
    const bool report =
        m_unreported > tokens(0) && now >= m_unreported_since + m_options.report_interval / 2;
    return report || low;
}

borrow_line node_bucket::make_line(base::time_point now)
{
    expire_session(now);
    expire_charges(now);
    return_surplus(now);
    borrow_line line;
    fill_totals(line, now);
    request_tokens(line, now);
    return line;
}

borrow_line node_bucket::close(base::time_point now)
{
    expire_session(now);
    m_returned += outstanding();
    borrow_line line;
    fill_totals(line, now);
    line.closed = true;
    reset();
    return line;
}

void node_bucket::on_lend(const lend_line& line, base::time_point now, wait_endings& endings)
{
    const auto* sent = sent_at(line.sequence);
    if (line.session != m_session || line.sequence <= m_answered || sent == nullptr) {
        return;
    }
    m_answered = line.sequence;
    const auto valid_until = *sent + m_options.drift.shortened(line.valid_for);
    if (now >= valid_until) {
        // Either the holder has ended the session before this node got an answer, or the answer is
        // old.
        if (!valid(now)) {
            reset();
        }
        return;
    }
    m_valid_until = valid_until;
    m_received = std::max(m_received, line.lent_total);
    if (line.sequence >= m_refund_reported_by) {
        m_refund_since = base::sequence_number{};
    }
    serve_waiting(line, now, endings);
    if (balance(now) < tokens(target(now).value() / 4)) {
        m_prefetch_after = now + m_options.prefetch_window / 2;
    }
}

void node_bucket::on_time(base::time_point now, wait_endings& endings)
{
    std::erase_if(m_waiting, [&](const waiting_call& waiter) {
        if (now < waiter.until) {
            return false;
        }
        endings.push_back({waiter.call, {take_verdict::refused, m_options.min_retry_after}});
        return true;
    });
}

base::time_point node_bucket::next_wait_end() const
{
    return m_waiting.empty() ? base::time_point::max() : m_waiting.front().until;
}

base::time_point node_bucket::next_time() const
{
    auto time = base::time_point::max();
    if (!m_waiting.empty()) {
        const auto resend =
            m_answered < m_sequence ? m_last_sent + m_options.borrow_timeout : m_last_sent;
        time = std::min(resend, m_waiting.front().until);
    }
    if (m_valid_until == base::time_point{}) {
        return time;
    }
    if (m_answered < m_sequence || m_refund_reported_by > m_sequence) {
        time = std::min(time, m_last_sent + m_options.borrow_timeout);
    }
    if (m_unreported > tokens(0)) {
        time = std::min(time, m_unreported_since + m_options.report_interval);
    }
    if (outstanding() > tokens(0)) {
        time = std::min(time, m_last_take + m_options.idle_time);
    }
    return time;
}

tokens node_bucket::balance(base::time_point now) const
{
    return valid(now) ? outstanding() : tokens(0);
}

void node_bucket::expire_session(base::time_point now)
{
    // A session that has received no tokens has none that could expire.
    if (!valid(now) && m_received > tokens(0)) {
        reset();
    }
}

void node_bucket::charge_call(base::call_id call, base::time_point now)
{
    if (m_unreported == tokens(0)) {
        m_unreported_since = now;
    }
    m_used += one_token;
    m_unreported += one_token;
    m_last_take = m_last_use = now;
    m_charges[call] = charge{m_session, next(m_sequence)};
    m_charge_times.push_back({call, now});
    expire_charges(now);
}

void node_bucket::expire_charges(base::time_point now)
{
    while (!m_charge_times.empty() && now - m_charge_times.front().at > charge_retention) {
        m_charges.erase(m_charge_times.front().call);
        m_charge_times.pop_front();
    }
}

void node_bucket::grant_waiting(base::time_point now, wait_endings& endings)
{
    while (!m_waiting.empty() && balance(now) >= one_token) {
        charge_call(m_waiting.front().call, now);
        endings.push_back({m_waiting.front().call, {take_verdict::taken, {}}});
        m_waiting.pop_front();
    }
}

void node_bucket::serve_waiting(const lend_line& line, base::time_point now, wait_endings& endings)
{
    grant_waiting(now, endings);
    const auto retry =
        std::clamp(line.retry_after, m_options.min_retry_after, m_options.max_retry_after);
    const auto covered = [&](const waiting_call& waiter) {
        return waiter.requested_by != base::sequence_number{} &&
               waiter.requested_by <= line.sequence;
    };
    while (!m_waiting.empty() && covered(m_waiting.front())) {
        endings.push_back({m_waiting.front().call, {take_verdict::refused, retry}});
        m_waiting.pop_front();
        m_refuse_until = now + retry;
    }
}

/// Returns tokens beyond what recent use needs.
void node_bucket::return_surplus(base::time_point now)
{
    const bool idle = now >= m_last_take + m_options.idle_time;
    const auto keep = idle ? tokens(0) : target(now) * 2 + one_token;
    if (outstanding() > keep) {
        m_returned += outstanding() - (idle ? keep : target(now));
    }
}

void node_bucket::fill_totals(borrow_line& line, base::time_point now)
{
    m_sequence = next(m_sequence);
    m_sent[m_sequence.value() % kept_lines] = now;
    m_last_sent = now;
    m_unreported = tokens(0);
    line.workspace = m_quota.workspace;
    line.session = m_session;
    line.sequence = m_sequence;
    line.received_total = m_received;
    line.used_total = m_used;
    line.returned_total = m_returned;
    line.refunded_total = m_refunded;
    line.refund_since = m_refund_since;
    line.used_age = std::max(base::duration::zero(), now - m_last_use);
}

void node_bucket::request_tokens(borrow_line& line, base::time_point now)
{
    line.demand = one_token * static_cast<std::int64_t>(m_waiting.size());
    for (auto& waiter : m_waiting) {
        if (waiter.requested_by == base::sequence_number{}) {
            waiter.requested_by = m_sequence;
        }
    }
    if (now >= m_prefetch_after) {
        line.prefetch = std::max(tokens(0), target(now) - outstanding());
    }
}

tokens node_bucket::target(base::time_point now) const
{
    // An idle node would return prefetched tokens at once.
    if (now >= m_last_take + m_options.idle_time) {
        return tokens(0);
    }
    // Capped at the configured rate: a burst exceeds it only briefly, and tokens prefetched for
    // more would stay unused.
    const auto rate = std::min(m_usage.rate(now), m_quota.rate);
    return whole(tokens_in(rate, m_options.prefetch_time(m_quota)));
}

bool node_bucket::awaits_answer(base::time_point now) const
{
    return m_answered < m_sequence && now < m_last_sent + m_options.borrow_timeout;
}

bool node_bucket::has_unrequested_call() const
{
    return m_waiting.back().requested_by == base::sequence_number{};
}

base::time_point* node_bucket::sent_at(base::sequence_number sequence)
{
    const bool kept = sequence.value() > 0 && sequence <= m_sequence &&
                      sequence.value() + kept_lines > m_sequence.value();
    return kept ? &m_sent[sequence.value() % kept_lines] : nullptr;
}

} // namespace damaskladder::quota
