#pragma once

#include "admission/entry_throttle_options.hpp"
#include "base/importance.hpp"
#include "base/node_id.hpp"
#include "base/random_source.hpp"
#include "base/time.hpp"

#include <optional>
#include <unordered_map>

namespace damaskladder::admission {

/// Client-side throttling in the entry node: refuses requests locally while their gatekeeper sheds
/// their importance level.
///
/// A report expires in two phases. Requests are refused for a random hold time, and are then let
/// through with a probability that rises linearly over a random ramp time. Both times are random so
/// that entry nodes do not resume at the same moment. A small fraction is let through even during
/// the hold; otherwise no answer would show that the gatekeeper has recovered.
class entry_throttle {
public:
    entry_throttle(entry_throttle_options options, base::random_source random);

    /// Records the shed level in an answer of the gatekeeper. An answer without a level does not
    /// end an earlier report, which ends only by expiry.
    void on_report(const base::node_id& gatekeeper, std::optional<base::importance> level,
                   base::time_point now);

    /// Decides at random whether to refuse a request of this importance instead of sending it to
    /// the gatekeeper.
    bool should_refuse(const base::node_id& gatekeeper, base::importance level,
                       base::time_point now);

    /// Removes expired reports to free memory; call periodically.
    void remove_expired(base::time_point now);

private:
    struct throttle_state {
        base::importance level = base::importance::background;
        base::time_point hold_until;
        base::duration ramp_time{1};
    };

    base::duration random_between(base::duration from, base::duration to);
    bool bernoulli(double probability);

    entry_throttle_options m_options;
    base::random_source m_random;
    std::unordered_map<base::node_id, throttle_state> m_throttles;
};

} // namespace damaskladder::admission
