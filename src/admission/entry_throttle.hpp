#pragma once

#include "admission/entry_throttle_options.hpp"
#include "base/importance.hpp"
#include "base/node_id.hpp"
#include "base/random_source.hpp"
#include "base/time.hpp"

#include <optional>
#include <unordered_map>

namespace damaskladder::admission {

/// What an entry node remembers of the levels that gatekeepers shed, so that it can refuse such
/// requests itself. A report fades: after a random hold the held-back requests return evenly over
/// a random time, so that entry nodes do not send them back as one wave. A small part goes through
/// all the time; without it nothing would ever tell that the gatekeeper has recovered.
class entry_throttle {
public:
    entry_throttle(entry_throttle_options options, base::random_source random);

    /// An answer of the gatekeeper arrived; level is what it sheds now, if anything. Silence does
    /// not end an earlier report; time does.
    void on_report(const base::node_id& gatekeeper, std::optional<base::importance> level,
                   base::time_point now);

    /// Draws whether a request of this importance is held back from the gatekeeper.
    bool should_refuse(const base::node_id& gatekeeper, base::importance level,
                       base::time_point now);

    /// Forgets reports that have faded. Called now and then.
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
