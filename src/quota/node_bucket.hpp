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
///
/// Tokens belong to a session with one holder and are valid only until a time that the holder's
/// lease covers; after that they are forgotten. All news to the holder are totals of the session.
class node_bucket {
public:
    node_bucket(quota_options options, workspace_quota quota, base::time_point now);

    /// Takes a token for the call, lets it wait for an answer of the holder, or refuses.
    take_answer take(base::call_id call, base::time_point deadline, base::time_point now);

    /// Gives back the token of a call that certainly did not run. Each token comes back once.
    /// It may end the wait of another call.
    return_verdict return_token(base::call_id call, base::time_point now, wait_endings& endings);

    /// Forgets the call: it ran, its token is spent. Also ends its wait.
    void settle(base::call_id call);

    void set_quota(const workspace_quota& quota) { m_quota = quota; }

    /// Begins a new session, with another holder. Requests that wait go on waiting.
    void reset();

    /// A line should be sent now.
    bool due(base::time_point now) const;

    /// A line is worth adding to a message that is sent anyway.
    bool should_piggyback(base::time_point now) const;

    /// Builds the next line and notes it as sent.
    borrow_line make_line(base::time_point now);

    /// Builds the last line of the session, which gives everything back.
    borrow_line close(base::time_point now);

    /// Takes an answer in. Appends the waits that it ends.
    void on_lend(const lend_line& line, base::time_point now, wait_endings& endings);

    /// Ends waits whose time has passed.
    void on_time(base::time_point now, wait_endings& endings);

    /// When due() or on_time() may have something to do; time_point::max() if nothing is pending.
    base::time_point next_time() const;
    /// When the first wait ends without tokens.
    base::time_point next_wait_end() const;

    tokens balance(base::time_point now) const;

    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct charge {
        session_number session;
        /// The line that reports it first.
        base::sequence_number reported_by;
    };

    struct charge_time {
        base::call_id call;
        base::time_point at;
    };

    struct waiting_call {
        base::call_id call;
        base::time_point until;
        /// The first line sent after the call came; zero if none was.
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

    /// Sending times are kept for this many lines; answers to older ones are ignored.
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
    /// The line that told the refunds up to m_refund_since.
    base::sequence_number m_refund_reported_by;

    /// Use that no line has reported yet.
    tokens m_unreported;
    base::time_point m_unreported_since;
    /// The latest request, and the latest that got a token.
    base::time_point m_last_take;
    base::time_point m_last_use;
    base::time_point m_last_sent;
    /// Requests are refused without asking again until then.
    base::time_point m_refuse_until;
    /// The holder has nothing to spare ahead of demand; it is not asked for it until then.
    base::time_point m_prefetch_after;
    usage_estimate m_usage;
    std::unordered_map<base::call_id, charge> m_charges;
    std::deque<charge_time> m_charge_times;
    std::deque<waiting_call> m_waiting;
};

} // namespace damaskladder::quota
