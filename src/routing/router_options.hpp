#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <chrono>

namespace damaskladder::routing {

/// Options of a router.
struct router_options {
    /// Uniform random values; required.
    base::random_source random;
    /// The own failure domain has room while a server there is below this part of its slots.
    double max_local_load = 0.8;
    /// A report of a gatekeeper counts for this time; in use, several come in each.
    base::duration report_lifetime{std::chrono::milliseconds(500)};
    /// A server that shed a request counts as full for this time.
    base::duration shed_cooldown{std::chrono::milliseconds(100)};
    /// Failures in a row that eject a server; failed connections need fewer, as they are certain.
    int consecutive_failures_to_eject = 5;
    int consecutive_unreachable_to_eject = 2;
    /// Failed part of late attempts that ejects a server, and the faded count of attempts (see
    /// server_state; at most 10) needed to judge it.
    double failure_ratio = 0.5;
    double min_attempts = 8;
    /// A server is ejected only if it fails so many times as often as the others together.
    double outlier_factor = 2;
    /// First ejection; each further one without an answer between is twice as long.
    base::duration min_ejection_duration{std::chrono::milliseconds(500)};
    base::duration max_ejection_duration{std::chrono::seconds(10)};
    /// A server that came back, or that is new among known ones, gets its full part after this
    /// time.
    base::duration slow_start_duration{std::chrono::seconds(2)};
    /// A server whose gatekeeper said that it drains is left alone for this time, or until it is
    /// announced with a new incarnation.
    base::duration drain_exclusion_duration{std::chrono::seconds(5)};
};

} // namespace damaskladder::routing
