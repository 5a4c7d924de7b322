#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "routing/placement_options.hpp"

#include <chrono>

namespace damaskladder::routing {

struct router_options {
    /// Source of uniform random values; required.
    base::random_source random;
    /// The own failure domain is preferred while the load of a server there, relative to its slots,
    /// is below this.
    double max_local_load = 0.8;
    /// Validity of a load report. Under load, several arrive within this time.
    base::duration report_lifetime{std::chrono::milliseconds(500)};
    placement_options placement;
    /// Time for which the run time in a report stays known, and for which the report shows the load
    /// of another failure domain. Few requests go there, so reports from there are rare.
    base::duration known_lifetime{std::chrono::seconds(2)};
    /// Time for which a server counts as full after it shed a request.
    base::duration shed_cooldown{std::chrono::milliseconds(100)};
    /// Time for which a cold server gets no attempts after its gatekeeper reported that it is
    /// limited, so that many entry nodes do not all repeat their attempts at it. For those of
    /// higher importance it keeps a reserve.
    base::duration limited_exclusion_duration{std::chrono::seconds(1)};
    /// Consecutive failures that eject a server. Failed connections need fewer, because they are
    /// unambiguous.
    int consecutive_failures_to_eject = 5;
    int consecutive_unreachable_to_eject = 2;
    /// Ratio of failed attempts that ejects a server, and the minimum decayed count of attempts
    /// (server_state::attempts, at most 10) for the ratio to apply.
    double failure_ratio = 0.5;
    double min_attempts = 8;
    /// A server is ejected only if its failure ratio exceeds that of all others together by this
    /// factor.
    double outlier_factor = 2;
    /// Duration of the first ejection and the upper bound. Each further ejection without an answer
    /// in between lasts twice as long.
    base::duration min_ejection_duration{std::chrono::milliseconds(500)};
    base::duration max_ejection_duration{std::chrono::seconds(10)};
    /// Time until a recovered server, or one announced later than the first ones, gets its full
    /// load share.
    base::duration slow_start_duration{std::chrono::seconds(2)};
    /// Time for which a server gets no attempts after its gatekeeper reported draining, unless it
    /// is announced with a new incarnation earlier.
    base::duration drain_exclusion_duration{std::chrono::seconds(5)};
    /// The same for an evacuated failure domain. Short, because the view shows the end of an
    /// evacuation without a new incarnation of the server.
    base::duration evacuation_exclusion_duration{std::chrono::milliseconds(500)};
};

} // namespace damaskladder::routing
