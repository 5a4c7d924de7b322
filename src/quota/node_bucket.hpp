#pragma once

#include "base/call_id.hpp"
#include "base/sequence_number.hpp"
#include "base/time.hpp"
#include "quota/borrow_line.hpp"
#include "quota/lend_line.hpp"
#include "quota/quota_options.hpp"
#include "quota/return_verdict.hpp"
#include "quota/session_number.hpp"
#include "quota/take_answer.hpp"
#include "quota/usage_estimate.hpp"
#include "quota/wait_ended.hpp"

#include <array>
#include <deque>
#include <unordered_map>

namespace damaskladder::quota {

/// Tokens of one workspace at one node.
/// Tokens belong to a session with one holder and expire no later than the holder's lease; expired
/// tokens are discarded. All reports to the holder are cumulative totals of the session.
class node_bucket {
public:
    node_bucket(quota_options options, workspace_quota quota, base::time_point now);

    /// Takes a token for the call, queues the call until the holder answers, or refuses it.
    take_answer take(base::call_id call, base::time_point deadline, base::time_point now);

    /// Returns the token of a call that certainly did not run. A token can be returned only once.
    /// The returned token may go to a waiting call.
    return_verdict return_token(base::call_id call, base::time_point now, wait_endings& endings);

    /// Drops the record of a call that ran, so its token is spent. Also removes the call from the
    /// queue, without a wait_ended.
    void settle(base::call_id call);

    void set_quota(const workspace_quota& quota) { m_quota = quota; }

    /// Begins a new session, with another holder. Waiting calls stay in the queue.
    void reset();

    /// Whether a line must be sent now.
    bool due(base::time_point now) const;

    /// Whether to add a line to a message that is sent anyway for another workspace.
    bool should_piggyback(base::time_point now) const;

    /// Builds the next line and records it as sent.
    borrow_line make_line(base::time_point now);

    /// Builds the last line of the session, which returns all tokens.
    borrow_line close(base::time_point now);

    /// Processes an answer of the holder. Appends the waits that it ends.
    void on_lend(const lend_line& line, base::time_point now, wait_endings& endings);

    /// Ends waits that have timed out.
    void on_time(base::time_point now, wait_endings& endings);

    /// When due() or on_time() should be called next; time_point::max() if nothing is pending.
    base::time_point next_time() const;
    /// When the first wait times out.
    base::time_point next_wait_end() const;

    tokens balance(base::time_point now) const;

    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct charge {
        session_number session;
        /// The first line that reports the charge.
        base::sequence_number reported_by;
    };

    struct charge_time {
        base::call_id call;
        base::time_point at;
    };

    struct waiting_call {
        base::call_id call;
        base::time_point until;
        /// The first line sent after the call arrived; zero if none has been sent.
        base::sequence_number requested_by;
    };

    bool valid(base::time_point now) const { return now < m_valid_until; }
    void expire_session(base::time_point now);
    void charge_call(base::call_id call, base::time_point now);
    void expire_charges(base::time_point now);
    void grant_waiting(base::time_point now, wait_endings& endings);
    void serve_waiting(const lend_line& line, base::time_point now, wait_endings& endings);
    void return_surplus(base::time_point now);
    void fill_totals(borrow_line& line, base::time_point now);
    void request_tokens(borrow_line& line, base::time_point now);
    tokens target(base::time_point now) const;
    tokens outstanding() const { return m_received - m_used - m_returned; }
    bool awaits_answer(base::time_point now) const;
    bool has_unrequested_call() const;
    base::time_point* sent_at(base::sequence_number sequence);

    /// Send times are kept for this many lines; answers to older lines are ignored.
    static constexpr std::size_t kept_lines = 8;

    quota_options m_options;
    workspace_quota m_quota;

    session_number m_session{1};
    base::sequence_number m_sequence;
    base::sequence_number m_answered;
    std::array<base::time_point, kept_lines> m_sent{};
    base::time_point m_valid_until;
    tokens m_received;
    tokens m_used;
    tokens m_returned;
    tokens m_refunded;
    base::sequence_number m_refund_since;
    /// The line that reports the latest refund; its answer confirms all refunds since
    /// m_refund_since.
    base::sequence_number m_refund_reported_by;

    /// Tokens used and not yet reported to the holder.
    tokens m_unreported;
    base::time_point m_unreported_since;
    /// Time of the latest request that was granted or queued, and of the latest that got a token.
    base::time_point m_last_take;
    base::time_point m_last_use;
    base::time_point m_last_sent;
    /// Until then, requests are refused without asking the holder.
    base::time_point m_refuse_until;
    /// Until then, no tokens are prefetched, because the holder had none to spare.
    base::time_point m_prefetch_after;
    usage_estimate m_usage;
    std::unordered_map<base::call_id, charge> m_charges;
    std::deque<charge_time> m_charge_times;
    std::deque<waiting_call> m_waiting;
};

} // namespace damaskladder::quota
