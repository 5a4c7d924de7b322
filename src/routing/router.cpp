#include "routing/router.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace damaskladder::routing {
namespace {

/// Least part of its load that a server on its ramp gets.
constexpr double ramp_start = 0.1;
/// Factor on the load of a server that fails but may not be ejected, so that it is chosen only
/// when the others are much fuller.
constexpr double failing_penalty = 8;
/// Attempts of late fade by this factor.
constexpr double fade = 0.9;
constexpr base::duration forget_after = std::chrono::minutes(1);

std::size_t index_of(base::importance level)
{
    return static_cast<std::size_t>(level);
}

/// Outstanding calls of this importance or more.
std::int64_t total(const server_state& state, base::importance least)
{
    return std::accumulate(state.outstanding.begin() + static_cast<std::ptrdiff_t>(index_of(least)),
                           state.outstanding.end(), std::int64_t{0});
}

} // namespace

router::router(router_options options) : m_options(std::move(options)) {}

std::optional<base::node_id> router::choose(const std::vector<backend_server>& servers,
                                            const choice_request& request, base::time_point now)
{
    std::vector<candidate> options = usable(servers, request, now);
    if (options.empty()) {
        return std::nullopt;
    }
    if (request.may_probe) {
        if (const auto probe = due_probe(options, now)) {
            probe->state->probing = true;
            return take(*probe, request, now);
        }
    }
    drop_unreachable(options);
    drop_ejected(options, servers.size());
    if (options.empty()) {
        return std::nullopt;
    }
    std::vector<candidate> near;
    for (const auto& option : options) {
        if (option.server->domain == request.own_domain && has_room(option, request, now)) {
            near.push_back(option);
        }
    }
    return take(choose_among(near.empty() ? options : near, request, now), request, now);
}

void router::heard(const base::node_id& node, const load_report& report, base::time_point now)
{
    const auto found = m_states.find(node);
    if (found != m_states.end()) {
        found->second.report = report;
        found->second.reported_at = now;
        found->second.since_report = 0;
    }
}

void router::ended(const base::node_id& node, base::importance importance, attempt_result result,
                   base::time_point now)
{
    auto found = m_states.find(node);
    if (found == m_states.end()) {
        return;
    }
    server_state& state = found->second;
    auto& outstanding = state.outstanding.at(index_of(importance));
    outstanding = std::max<std::int64_t>(0, outstanding - 1);
    --state.since_report;
    switch (result) {
    case attempt_result::answered:
        state.attempts = state.attempts * fade + 1;
        state.failed *= fade;
        [[fallthrough]];
    case attempt_result::shed:
        state.failures_in_row = 0;
        state.unreachable_in_row = 0;
        if (std::exchange(state.ejected, false)) {
            state.ramp_from = now;
            state.attempts = 0;
            state.failed = 0;
        }
        if (result == attempt_result::shed) {
            state.full_until = now + m_options.full_time;
        }
        else {
            state.last_ejection = base::duration::zero();
        }
        break;
    case attempt_result::failed:
    case attempt_result::timed_out:
        count_failure(state, false, now);
        break;
    case attempt_result::unreachable:
        count_failure(state, true, now);
        break;
    case attempt_result::draining:
        state.draining_until = now + m_options.draining_time;
        break;
    case attempt_result::cancelled:
        break;
    }
    state.probing = false;
}

std::int64_t router::outstanding(const base::node_id& node) const
{
    auto found = m_states.find(node);
    return found == m_states.end() ? 0 : total(found->second, base::importance::background);
}

bool router::is_ejected(const base::node_id& node) const
{
    auto found = m_states.find(node);
    return found != m_states.end() && found->second.ejected;
}

void router::forget_old(base::time_point now)
{
    std::erase_if(m_states, [&](const auto& item) {
        return total(item.second, base::importance::background) == 0 &&
               now - item.second.last_used > forget_after;
    });
}

std::vector<router::candidate> router::usable(const std::vector<backend_server>& servers,
                                              const choice_request& request, base::time_point now)
{
    if (!m_first_seen && !servers.empty()) {
        m_first_seen = now;
    }
    std::vector<candidate> options;
    options.reserve(servers.size());
    for (const auto& server : servers) {
        server_state& state = state_of(server, now);
        const bool excluded = std::find(request.excluded.begin(), request.excluded.end(),
                                        server.node) != request.excluded.end();
        if (!server.draining && !excluded && now >= state.draining_until) {
            options.push_back({&server, &state});
        }
    }
    return options;
}

server_state& router::state_of(const backend_server& server, base::time_point now)
{
    auto [found, is_new] = m_states.try_emplace(server.node);
    server_state& state = found->second;
    if (!is_new && state.incarnation == server.incarnation) {
        return state;
    }
    const auto outstanding = state.outstanding;
    state = server_state{};
    state.incarnation = server.incarnation;
    state.outstanding = outstanding;
    state.last_used = now;
    if (now > *m_first_seen) {
        state.ramp_from = now;
    }
    return state;
}

router::candidate router::choose_among(const std::vector<candidate>& from,
                                       const choice_request& request, base::time_point now)
{
    const auto first = m_options.random() % from.size();
    if (from.size() == 1) {
        return from.front();
    }
    auto second = m_options.random() % (from.size() - 1);
    second += second >= first ? 1 : 0;
    const bool first_is_better =
        score(from[first], request, now) <= score(from[second], request, now);
    return from[first_is_better ? first : second];
}

void router::drop_unreachable(std::vector<candidate>& from)
{
    const auto is_out = [](const candidate& option) {
        return option.state->ejected && option.state->unreachable_in_row > 0;
    };
    if (!std::all_of(from.begin(), from.end(), is_out)) {
        std::erase_if(from, is_out);
    }
}

void router::drop_ejected(std::vector<candidate>& from, std::size_t announced) const
{
    const auto is_out = [](const candidate& option) { return option.state->ejected; };
    const auto out = static_cast<std::size_t>(std::count_if(from.begin(), from.end(), is_out));
    if (out == from.size()) {
        return;
    }
    const std::size_t may_be_out = std::min(out, announced / 2);
    std::stable_sort(from.begin(), from.end(), [](const candidate& a, const candidate& b) {
        return std::pair(a.state->ejected, a.state->last_ejection) <
               std::pair(b.state->ejected, b.state->last_ejection);
    });
    from.resize(from.size() - may_be_out);
}

std::optional<router::candidate> router::due_probe(const std::vector<candidate>& from,
                                                   base::time_point now) const
{
    auto found = std::find_if(from.begin(), from.end(), [&](const candidate& option) {
        return option.state->ejected && !option.state->probing &&
               now >= option.state->ejected_until;
    });
    return found == from.end() ? std::nullopt : std::optional(*found);
}

bool router::has_room(const candidate& option, const choice_request& request,
                      base::time_point now) const
{
    return !option.state->ejected && now >= option.state->full_until &&
           score(option, request, now) < m_options.room;
}

double router::score(const candidate& option, const choice_request& request,
                     base::time_point now) const
{
    const server_state& state = *option.state;
    const load_report* report = fresh_report(state, now);
    const auto slots = std::max<std::int64_t>(1, report != nullptr ? report->limit.value()
                                                                   : option.server->slots.value());
    double load =
        static_cast<double>(estimated_load(option, request, now) + 1) / static_cast<double>(slots);
    if (state.ramp_from) {
        const double grown = static_cast<double>((now - *state.ramp_from).count()) /
                             static_cast<double>(m_options.ramp.count());
        load /= std::clamp(grown, ramp_start, 1.0);
    }
    return state.ejected ? load * failing_penalty : load;
}

const load_report* router::fresh_report(const server_state& state, base::time_point now) const
{
    const bool fresh = state.report && now < state.reported_at + m_options.report_lifetime;
    return fresh ? &*state.report : nullptr;
}

std::int64_t router::estimated_load(const candidate& option, const choice_request& request,
                                    base::time_point now) const
{
    const server_state& state = *option.state;
    const auto own = total(state, request.importance);
    if (const load_report* report = fresh_report(state, now)) {
        return std::max(own, report->busy.value() + state.since_report);
    }
    const auto slots = std::max<std::int64_t>(1, option.server->slots.value());
    return own + std::clamp<std::int64_t>(option.server->reported_load.value(), 0, slots);
}

bool router::fails_more_than_others(const server_state& state) const
{
    double attempts = 0;
    double failed = 0;
    for (const auto& item : m_states) {
        if (&item.second != &state) {
            attempts += item.second.attempts;
            failed += item.second.failed;
        }
    }
    return attempts == 0 ||
           state.failed * attempts > m_options.outlier_factor * failed * state.attempts;
}

void router::count_failure(server_state& state, bool unreachable, base::time_point now) const
{
    state.attempts = state.attempts * fade + 1;
    state.failed = state.failed * fade + 1;
    ++state.failures_in_row;
    state.unreachable_in_row = unreachable ? state.unreachable_in_row + 1 : 0;
    const bool failed_probe = state.ejected && state.probing;
    const bool cut_off = state.unreachable_in_row >= m_options.unreachable_to_eject;
    const bool in_row = state.failures_in_row >= m_options.failures_to_eject;
    const bool by_part = state.attempts >= m_options.attempts_to_judge &&
                         state.failed >= m_options.failed_part * state.attempts;
    const bool fails = (in_row || by_part) && fails_more_than_others(state);
    if (failed_probe || (!state.ejected && (cut_off || fails))) {
        eject(state, now);
    }
}

void router::eject(server_state& state, base::time_point now) const
{
    const auto twice = state.last_ejection + state.last_ejection;
    state.last_ejection =
        std::clamp(twice, m_options.shortest_ejection, m_options.longest_ejection);
    state.ejected = true;
    state.ejected_until = now + state.last_ejection;
    state.ramp_from.reset();
}

base::node_id router::take(const candidate& chosen, const choice_request& request,
                           base::time_point now)
{
    ++chosen.state->outstanding.at(index_of(request.importance));
    ++chosen.state->since_report;
    chosen.state->last_used = now;
    return chosen.server->node;
}

} // namespace damaskladder::routing
