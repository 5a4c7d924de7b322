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

/// The gatekeeper's side of at-most-once: takes, releases and completes claims of its attempts.
///
/// An attempt gets at most one outcome granted, and none after it was given up. A grant that comes
/// after that is released. Attempt ids are never used twice.
class claim_client {
public:
    claim_client(claim_options options, base::random_source random);

    /// Asks for a claim until it is answered or the deadline's reserve is reached.
    claim_effects begin(const claim& wanted, base::time_point deadline, base::time_point now);

    /// The granted attempt certainly did not start.
    claim_effects release(base::attempt_id attempt, base::time_point now);

    /// The granted attempt's answer is known.
    claim_effects complete(base::attempt_id attempt, base::time_point now);

    /// What became of the granted attempt is not known. Its claim stays until the log forgets it.
    void forget(base::attempt_id attempt);

    claim_effects on_reply(const claim_reply& reply, base::time_point now);
    claim_effects on_ack(const claim_ack& ack, base::time_point now);

    /// Gives up, sends again and forgets. Call at next_time().
    claim_effects on_time(base::time_point now);

    base::time_point next_time() const;

    /// Attempts that are known.
    std::size_t size() const { return m_attempts.size(); }

private:
    enum class state {
        requesting,
        /// The traffic side has the grant.
        granted,
        /// A release or completion waits for the log's answer.
        releasing,
        completing,
        /// Released; a late grant is released again.
        released,
    };

    struct open_attempt {
        claim wanted;
        state current_state = state::requesting;
        /// End of asking, of resending, or of remembering.
        base::time_point until;
        base::time_point resend_at;
        base::duration resend_delay{};
        /// Numbers the releases: an answer to an earlier one does not cover a later grant.
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
