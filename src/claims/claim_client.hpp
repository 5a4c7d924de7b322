#pragma once

#include "base/random_source.hpp"
#include "base/sequence_number.hpp"
#include "base/time.hpp"
#include "claims/claim.hpp"
#include "claims/claim_ack.hpp"
#include "claims/claim_effects.hpp"
#include "claims/claim_options.hpp"
#include "claims/claim_reply.hpp"

#include <unordered_map>

namespace damaskladder::claims {

/// The gatekeeper's side of at-most-once execution: acquires, releases and completes the claims of
/// its attempts.
///
/// An attempt gets the outcome granted at most once, and only if the grant arrives more than
/// options.deadline_reserve before the deadline. A later grant is released. Attempt ids must not be
/// reused.
class claim_client {
public:
    claim_client(claim_options options, base::random_source random);

    /// Requests a claim until it is answered or options.deadline_reserve before the deadline is
    /// reached.
    claim_effects begin(const claim& wanted, base::time_point deadline, base::time_point now);

    /// Releases the claim of a granted attempt that certainly did not start.
    claim_effects release(base::attempt_id attempt, base::time_point now);

    /// Marks the claim of a granted attempt as done: its answer is known.
    claim_effects complete(base::attempt_id attempt, base::time_point now);

    /// Drops the record of a granted attempt with an unknown outcome. Its claim stays held until
    /// the log's retention ends.
    void forget(base::attempt_id attempt);

    claim_effects on_reply(const claim_reply& reply, base::time_point now);
    claim_effects on_ack(const claim_ack& ack, base::time_point now);

    /// Ends the request for a claim at its time limit, resends unanswered submissions and drops
    /// expired records. To be called at next_time().
    claim_effects on_time(base::time_point now);

    base::time_point next_time() const;

    /// Number of attempts with a record.
    std::size_t size() const { return m_attempts.size(); }

private:
    enum class state {
        requesting,
        /// The grant was reported to the traffic side.
        granted,
        /// A release or completion waits for the log's ack.
        releasing,
        completing,
        /// Released or refused. A grant that arrives late is released again.
        released,
    };

    struct open_attempt {
        claim wanted;
        state current_state = state::requesting;
        /// When requesting, resending or keeping the record ends, depending on the state.
        base::time_point until;
        base::time_point resend_at;
        base::duration resend_delay{};
        /// Numbers the releases and completions. An ack of an earlier release does not cover a
        /// later grant.
        base::sequence_number sequence;
    };

    void enter(open_attempt& tracked, state next, base::time_point now, claim_effects& effects);
    void submit(open_attempt& tracked, base::time_point now, claim_effects& effects);
    void give_up(open_attempt& tracked, base::time_point now, claim_effects& effects);
    claim_effects finish(base::attempt_id id, state next, base::time_point now);
    static claim_verdict verdict_of(claim_status status);

    claim_options m_options;
    base::random_source m_random;
    std::unordered_map<base::attempt_id, open_attempt> m_attempts;
};

} // namespace damaskladder::claims
