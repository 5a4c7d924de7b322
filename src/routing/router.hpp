#pragma once

#include "routing/attempt_result.hpp"
#include "routing/backend_server.hpp"
#include "routing/choice_request.hpp"
#include "routing/completion_estimate.hpp"
#include "routing/domain_spill.hpp"
#include "routing/router_options.hpp"
#include "routing/server_state.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::routing {

/// Chooses a backend server of one service for each attempt.
class router {
public:
    explicit router(router_options options);

    /// Chooses one of the announced servers and counts the attempt as outstanding until
    /// on_attempt_ended(). Returns nullopt if no server is usable.
    std::optional<base::node_id> choose(const std::vector<backend_server>& servers,
                                        const choice_request& request, base::time_point now);

    /// Records the end of an attempt. The importance must be the one passed to choose(). Unknown
    /// servers are ignored.
    void on_attempt_ended(const base::node_id& node, base::importance importance,
                          attempt_result result, base::time_point now);

    /// Records a load report of a server's gatekeeper. If the report came with the answer that
    /// ended an attempt, call this after on_attempt_ended(). Unknown servers are ignored.
    void on_load_report(const base::node_id& node, const load_report& report, base::time_point now);

    /// Number of outstanding attempts at a server.
    std::int64_t outstanding(const base::node_id& node) const;

    bool is_ejected(const base::node_id& node) const;

    /// What leaves the own failure domain with placement_options::by_completion.
    const domain_spill& spill() const { return m_spill; }

    /// Whether the server is excluded for requests of this importance, since it is limited.
    bool is_limited(const base::node_id& node, base::importance importance,
                    base::time_point now) const;

    /// Removes the state of servers unused for 1 minute and without outstanding calls.
    void remove_idle(base::time_point now);

private:
    struct candidate {
        const backend_server* server;
        server_state* state;
    };

    std::vector<candidate> eligible_candidates(const std::vector<backend_server>& servers,
                                               const choice_request& request, base::time_point now);
    server_state& state_of(const backend_server& server, base::time_point now);
    candidate pick_by_estimate(const std::vector<candidate>& options, const choice_request& request,
                               base::time_point now);
    /// Whether this request goes to another failure domain although the own one has servers.
    bool leaves_domain(const std::vector<candidate>& own, const std::vector<candidate>& others,
                       base::time_point now);
    domain_load load_of(const std::vector<candidate>& from, const choice_request& request,
                        base::time_point now) const;
    /// `lifetime` is the age from which a load report is ignored.
    completion_estimate estimate_of(const candidate& option, const choice_request& request,
                                    base::duration lifetime, base::time_point now) const;
    candidate pick_less_loaded(const std::vector<candidate>& from, const choice_request& request,
                               base::time_point now);
    /// Excludes unreachable servers, regardless of their number, unless no candidate would remain.
    /// Unlike failures, a failed connection is no sign of load that could move to the other
    /// servers.
    static void exclude_unreachable(std::vector<candidate>& from);
    void exclude_ejected(std::vector<candidate>& from, std::size_t announced) const;
    std::optional<candidate> due_probe(const std::vector<candidate>& from,
                                       base::time_point now) const;
    bool has_capacity(const candidate& option, const choice_request& request,
                      base::time_point now) const;
    double load_score(const candidate& option, const choice_request& request,
                      base::time_point now) const;
    /// Number of calls of which load_score() is the relative load.
    double usable_slots(const candidate& option, const load_report* report,
                        base::time_point now) const;
    /// The latest load report, or null if there is none within the lifetime.
    static const load_report* fresh_report(const server_state& state, base::duration lifetime,
                                           base::time_point now);
    /// Estimated number of calls that currently run or wait at a server.
    static std::int64_t estimated_load(const candidate& option, const choice_request& request,
                                       const load_report* report);
    void record_failure(server_state& state, bool unreachable, base::time_point now) const;
    /// Whether the failure ratio of a server is much higher than that of the others. If all fail
    /// alike, the cause is a shared dependency, and ejection would only add load to the others.
    bool is_outlier(const server_state& state) const;
    void eject(server_state& state, base::time_point now) const;
    static base::node_id record_attempt(const candidate& chosen, const choice_request& request,
                                        base::time_point now);

    router_options m_options;
    domain_spill m_spill;
    /// Average run time over the reports of all servers; zero if unknown.
    base::duration m_run_time{};
    std::unordered_map<base::node_id, server_state> m_states;
    /// Time at which the first servers were announced. Servers announced then get no slow start.
    std::optional<base::time_point> m_first_seen;
};

} // namespace damaskladder::routing
