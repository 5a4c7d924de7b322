#pragma once

#include "routing/attempt_result.hpp"
#include "routing/backend_server.hpp"
#include "routing/choice_request.hpp"
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

    /// Chooses one of the announced servers and counts the attempt as outstanding until ended() is
    /// called for it. Nothing if no server may be used.
    std::optional<base::node_id> choose(const std::vector<backend_server>& servers,
                                        const choice_request& request, base::time_point now);

    /// A chosen attempt ended, with the importance that it was chosen with. Unknown servers are
    /// ignored.
    void on_attempt_ended(const base::node_id& node, base::importance importance,
                          attempt_result result, base::time_point now);

    /// The gatekeeper of a server said how full it is. After ended(), if the call ended with the
    /// answer that says it. Unknown servers are ignored.
    void on_load_report(const base::node_id& node, const load_report& report, base::time_point now);

    /// Attempts under way at a server.
    std::int64_t outstanding(const base::node_id& node) const;

    /// A server is ejected now.
    bool is_ejected(const base::node_id& node) const;

    /// Forgets servers that have not been used for a minute and have no outstanding calls.
    void remove_idle(base::time_point now);

private:
    struct candidate {
        const backend_server* server;
        server_state* state;
    };

    std::vector<candidate> eligible_candidates(const std::vector<backend_server>& servers,
                                               const choice_request& request, base::time_point now);
    server_state& state_of(const backend_server& server, base::time_point now);
    candidate pick_less_loaded(const std::vector<candidate>& from, const choice_request& request,
                               base::time_point now);
    /// Leaves out servers that no connection reaches, however many, unless that leaves none: unlike
    /// failures, this says nothing about their load that could pass on to the rest.
    static void exclude_unreachable(std::vector<candidate>& from);
    void exclude_ejected(std::vector<candidate>& from, std::size_t announced) const;
    std::optional<candidate> due_probe(const std::vector<candidate>& from,
                                       base::time_point now) const;
    bool has_capacity(const candidate& option, const choice_request& request,
                      base::time_point now) const;
    double load_score(const candidate& option, const choice_request& request,
                      base::time_point now) const;
    /// What the gatekeeper said, if it is recent enough to count; else null.
    const load_report* fresh_report(const server_state& state, base::time_point now) const;
    /// Calls that are probably at a server now.
    std::int64_t estimated_load(const candidate& option, const choice_request& request,
                                base::time_point now) const;
    void record_failure(server_state& state, bool unreachable, base::time_point now) const;
    /// Whether a server fails much more often than the others. If all fail alike, the cause lies
    /// behind them, and work for the rest would only grow without it.
    bool is_outlier(const server_state& state) const;
    void eject(server_state& state, base::time_point now) const;
    static base::node_id record_attempt(const candidate& chosen, const choice_request& request,
                                        base::time_point now);

    router_options m_options;
    std::unordered_map<base::node_id, server_state> m_states;
    /// When the first server was seen. Servers seen at that time are not new among known ones.
    std::optional<base::time_point> m_first_seen;
};

} // namespace damaskladder::routing
