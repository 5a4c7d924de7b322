#include "routing/router.hpp"

#include "routing/pick_by_completion.hpp"
#include "routing/uniform_fraction.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace damaskladder::routing {
namespace {

/// Minimum fraction of its load share that a server gets during slow start.
constexpr double min_slow_start_fraction = 0.1;
/// Multiplies the load of an ejected server that could not be excluded, so that it is chosen only
/// if the others are much more loaded.
constexpr double ejected_load_factor = 8;
/// Multiplies the load of a cold server, which handles a small part of what it does when warm.
constexpr double cold_load_factor = 4;
/// The counts of attempts and failures decay by this factor per attempt.
constexpr double decay_factor = 0.9;
/// Weight of one report in the average run time of the service, as a divisor.
constexpr int run_time_divisor = 32;
/// Choices sampled for the mean slowdown of a group of servers.
constexpr int sampled_choices = 4;
/// Part of the limit that requests from other failure domains may fill.
constexpr double max_foreign_load = 0.9;
constexpr base::duration idle_timeout = std::chrono::minutes(1);

std::size_t index_of(base::importance level)
{
    return static_cast<std::size_t>(level);
}

/// Number of outstanding calls of at least the given importance.
std::int64_t outstanding_calls(const server_state& state, base::importance min_importance)
{
    return std::accumulate(state.outstanding.begin() +
                               static_cast<std::ptrdiff_t>(index_of(min_importance)),
                           state.outstanding.end(), std::int64_t{0});
}

} // namespace

router::router(router_options options)
    : m_options(std::move(options)), m_spill(m_options.placement.spill)
{
}

std::optional<base::node_id> router::choose(const std::vector<backend_server>& servers,
                                            const choice_request& request, base::time_point now)
{
    std::vector<candidate> options = eligible_candidates(servers, request, now);
    if (options.empty()) {
        return std::nullopt;
    }
    if (request.may_probe) {
        if (const auto probe = due_probe(options, now)) {
            probe->state->probing = true;
            return record_attempt(*probe, request, now);
        }
    }
    exclude_unreachable(options);
    exclude_ejected(options, servers.size());
    if (options.empty()) {
        return std::nullopt;
    }
    if (m_options.placement.by_completion) {
        return record_attempt(pick_by_estimate(options, request, now), request, now);
    }
    std::vector<candidate> local;
    for (const auto& option : options) {
        if (option.server->domain == request.own_domain && has_capacity(option, request, now)) {
            local.push_back(option);
        }
    }
    const auto is_cold = [](const candidate& option) { return option.server->cold; };
    // Cold servers of the own domain do not keep all of its requests from the warm ones of others.
    const bool leaves = std::all_of(local.begin(), local.end(), is_cold) &&
                        !std::all_of(options.begin(), options.end(), is_cold);
    return record_attempt(pick_less_loaded(local.empty() || leaves ? options : local, request, now),
                          request, now);
}

void router::on_load_report(const base::node_id& node, const load_report& report,
                            base::time_point now)
{
    const auto found = m_states.find(node);
    if (found != m_states.end()) {
        found->second.report = report;
        found->second.reported_at = now;
        found->second.outstanding_since_report = 0;
        if (report.run_time > base::duration::zero()) {
            m_run_time = m_run_time == base::duration::zero()
                             ? report.run_time
                             : m_run_time + (report.run_time - m_run_time) / run_time_divisor;
        }
    }
}

void router::on_attempt_ended(const base::node_id& node, base::importance importance,
                              attempt_result result, base::time_point now)
{
    auto found = m_states.find(node);
    if (found == m_states.end()) {
        return;
    }
    server_state& state = found->second;
    auto& outstanding = state.outstanding.at(index_of(importance));
    outstanding = std::max<std::int64_t>(0, outstanding - 1);
    --state.outstanding_since_report;
    if (result == attempt_result::limited && !state.cold) {
        // A rate that a warm server names is refilled within milliseconds.
        result = attempt_result::shed;
    }
    switch (result) {
    case attempt_result::answered:
        state.attempts = state.attempts * decay_factor + 1;
        state.failed *= decay_factor;
        [[fallthrough]];
    case attempt_result::shed:
        state.consecutive_failures = 0;
        state.consecutive_unreachable = 0;
        if (std::exchange(state.ejected, false)) {
            state.slow_start_began = now;
            state.attempts = 0;
            state.failed = 0;
        }
        if (result == attempt_result::shed) {
            state.full_until = now + m_options.shed_cooldown;
        }
        else {
            state.last_ejection_duration = base::duration::zero();
        }
        break;
    case attempt_result::failed:
    case attempt_result::timed_out:
        record_failure(state, false, now);
        break;
    case attempt_result::unreachable:
        record_failure(state, true, now);
        break;
    case attempt_result::draining:
        state.draining_until = now + m_options.drain_exclusion_duration;
        break;
    case attempt_result::evacuated:
        state.draining_until =
            std::max(state.draining_until, now + m_options.evacuation_exclusion_duration);
        break;
    case attempt_result::limited:
        std::fill_n(state.limited_until.begin(), index_of(importance) + 1,
                    now + m_options.limited_exclusion_duration);
        break;
    case attempt_result::cancelled:
        break;
    }
    state.probing = false;
}

std::int64_t router::outstanding(const base::node_id& node) const
{
    auto found = m_states.find(node);
    return found == m_states.end() ? 0
                                   : outstanding_calls(found->second, base::importance::background);
}

bool router::is_ejected(const base::node_id& node) const
{
    auto found = m_states.find(node);
    return found != m_states.end() && found->second.ejected;
}

bool router::is_limited(const base::node_id& node, base::importance importance,
                        base::time_point now) const
{
    auto found = m_states.find(node);
    return found != m_states.end() && now < found->second.limited_until.at(index_of(importance));
}

void router::remove_idle(base::time_point now)
{
    std::erase_if(m_states, [&](const auto& item) {
        return outstanding_calls(item.second, base::importance::background) == 0 &&
               now - item.second.last_used > idle_timeout;
    });
}

std::vector<router::candidate>
router::eligible_candidates(const std::vector<backend_server>& servers,
                            const choice_request& request, base::time_point now)
{
    if (!m_first_seen && !servers.empty()) {
        m_first_seen = now;
    }
    std::vector<candidate> options;
    options.reserve(servers.size());
    for (const auto& server : servers) {
        server_state& state = state_of(server, now);
        state.cold = server.cold;
        const bool excluded = std::find(request.excluded.begin(), request.excluded.end(),
                                        server.node) != request.excluded.end();
        const bool limited = now < state.limited_until.at(index_of(request.importance));
        if (!server.draining && !excluded && !limited && now >= state.draining_until) {
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
        state.slow_start_began = now;
    }
    return state;
}

router::candidate router::pick_by_estimate(const std::vector<candidate>& options,
                                           const choice_request& request, base::time_point now)
{
    std::vector<candidate> own;
    std::vector<candidate> others;
    for (const auto& option : options) {
        (option.server->domain == request.own_domain ? own : others).push_back(option);
    }
    // A repeated request excludes servers that are not excluded for others.
    if (request.excluded.empty() && m_spill.due(now)) {
        m_spill.update(load_of(own, request, now), load_of(others, request, now), m_run_time, now);
    }
    const auto& from = leaves_domain(own, others, now) ? others : own;
    std::vector<completion_estimate> estimates;
    estimates.reserve(from.size());
    for (const auto& option : from) {
        estimates.push_back(estimate_of(option, request, m_options.report_lifetime, now));
    }
    return from[pick_by_completion(estimates, m_options.random)];
}

bool router::leaves_domain(const std::vector<candidate>& own, const std::vector<candidate>& others,
                           base::time_point now)
{
    if (own.empty() || others.empty()) {
        return own.empty();
    }
    return uniform_fraction(m_options.random) < m_spill.leaving() || m_spill.take_probe(now);
}

domain_load router::load_of(const std::vector<candidate>& from, const choice_request& request,
                            base::time_point now) const
{
    domain_load load;
    load.servers = from.size();
    std::vector<completion_estimate> known;
    for (const auto& option : from) {
        if (option.state->ejected ||
            fresh_report(*option.state, m_options.known_lifetime, now) == nullptr) {
            continue;
        }
        const auto estimate = estimate_of(option, request, m_options.known_lifetime, now);
        known.push_back(estimate);
        const double busy = estimate.relative_load * estimate.capacity;
        load.busy += busy;
        load.room += std::max(0.0, max_foreign_load * estimate.capacity - busy);
    }
    if (!known.empty()) {
        double sum = 0;
        for (int n = 0; n < sampled_choices; ++n) {
            sum += known[pick_by_completion(known, m_options.random)].slowdown();
        }
        load.slowdown = sum / sampled_choices;
    }
    return load;
}

completion_estimate router::estimate_of(const candidate& option, const choice_request& request,
                                        base::duration lifetime, base::time_point now) const
{
    const server_state& state = *option.state;
    const load_report* known = fresh_report(state, m_options.known_lifetime, now);
    const bool has_run_time = known != nullptr && known->run_time > base::duration::zero();
    const load_report* report = fresh_report(state, lifetime, now);
    completion_estimate estimate;
    estimate.run_time = has_run_time ? known->run_time : m_run_time;
    estimate.capacity = usable_slots(option, report, now);
    estimate.relative_load =
        static_cast<double>(estimated_load(option, request, report) + 1) / estimate.capacity;
    if (now < state.full_until) {
        estimate.relative_load = std::max(1.0, estimate.relative_load);
    }
    return estimate;
}

router::candidate router::pick_less_loaded(const std::vector<candidate>& from,
                                           const choice_request& request, base::time_point now)
{
    const auto first = m_options.random() % from.size();
    if (from.size() == 1) {
        return from.front();
    }
    auto second = m_options.random() % (from.size() - 1);
    second += second >= first ? 1 : 0;
    const bool first_is_better =
        load_score(from[first], request, now) <= load_score(from[second], request, now);
    return from[first_is_better ? first : second];
}

void router::exclude_unreachable(std::vector<candidate>& from)
{
    const auto is_excluded = [](const candidate& option) {
        return option.state->ejected && option.state->consecutive_unreachable > 0;
    };
    if (!std::all_of(from.begin(), from.end(), is_excluded)) {
        std::erase_if(from, is_excluded);
    }
}

void router::exclude_ejected(std::vector<candidate>& from, std::size_t announced) const
{
    const auto candidate_is_ejected = [](const candidate& option) { return option.state->ejected; };
    const auto ejected_count =
        static_cast<std::size_t>(std::count_if(from.begin(), from.end(), candidate_is_ejected));
    if (ejected_count == from.size()) {
        return;
    }
    const std::size_t excluded_count = std::min(ejected_count, announced / 2);
    std::stable_sort(from.begin(), from.end(), [](const candidate& a, const candidate& b) {
        return std::pair(a.state->ejected, a.state->last_ejection_duration) <
               std::pair(b.state->ejected, b.state->last_ejection_duration);
    });
    from.resize(from.size() - excluded_count);
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

bool router::has_capacity(const candidate& option, const choice_request& request,
                          base::time_point now) const
{
    return !option.state->ejected && now >= option.state->full_until &&
           load_score(option, request, now) < m_options.max_local_load;
}

double router::load_score(const candidate& option, const choice_request& request,
                          base::time_point now) const
{
    const load_report* report = fresh_report(*option.state, m_options.report_lifetime, now);
    return static_cast<double>(estimated_load(option, request, report) + 1) /
           usable_slots(option, report, now);
}

double router::usable_slots(const candidate& option, const load_report* report,
                            base::time_point now) const
{
    const server_state& state = *option.state;
    auto slots = static_cast<double>(std::max<std::int64_t>(
        1, report != nullptr ? report->limit.value() : option.server->slots.value()));
    if (state.slow_start_began) {
        const double slow_start_fraction =
            static_cast<double>((now - *state.slow_start_began).count()) /
            static_cast<double>(m_options.slow_start_duration.count());
        slots *= std::clamp(slow_start_fraction, min_slow_start_fraction, 1.0);
    }
    if (option.server->cold) {
        slots /= cold_load_factor;
    }
    return state.ejected ? slots / ejected_load_factor : slots;
}

const load_report* router::fresh_report(const server_state& state, base::duration lifetime,
                                        base::time_point now)
{
    const bool fresh = state.report && now < state.reported_at + lifetime;
    return fresh ? &*state.report : nullptr;
}

std::int64_t router::estimated_load(const candidate& option, const choice_request& request,
                                    const load_report* report)
{
    const server_state& state = *option.state;
    const auto own = outstanding_calls(state, request.importance);
    if (report != nullptr) {
        return std::max(own, report->busy.value() + state.outstanding_since_report);
    }
    const auto slots = std::max<std::int64_t>(1, option.server->slots.value());
    return own + std::clamp<std::int64_t>(option.server->reported_load.value(), 0, slots);
}

bool router::is_outlier(const server_state& state) const
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

void router::record_failure(server_state& state, bool unreachable, base::time_point now) const
{
    state.attempts = state.attempts * decay_factor + 1;
    state.failed = state.failed * decay_factor + 1;
    ++state.consecutive_failures;
    state.consecutive_unreachable = unreachable ? state.consecutive_unreachable + 1 : 0;
    const bool failed_probe = state.ejected && state.probing;
    const bool is_unreachable =
        state.consecutive_unreachable >= m_options.consecutive_unreachable_to_eject;
    const bool too_many_in_row =
        state.consecutive_failures >= m_options.consecutive_failures_to_eject;
    const bool too_many_by_ratio = state.attempts >= m_options.min_attempts &&
                                   state.failed >= m_options.failure_ratio * state.attempts;
    const bool is_failing = (too_many_in_row || too_many_by_ratio) && is_outlier(state);
    if (failed_probe || (!state.ejected && (is_unreachable || is_failing))) {
        eject(state, now);
    }
}

void router::eject(server_state& state, base::time_point now) const
{
    const auto twice = state.last_ejection_duration + state.last_ejection_duration;
    state.last_ejection_duration =
        std::clamp(twice, m_options.min_ejection_duration, m_options.max_ejection_duration);
    state.ejected = true;
    state.ejected_until = now + state.last_ejection_duration;
    state.slow_start_began.reset();
}

base::node_id router::record_attempt(const candidate& chosen, const choice_request& request,
                                     base::time_point now)
{
    ++chosen.state->outstanding.at(index_of(request.importance));
    ++chosen.state->outstanding_since_report;
    chosen.state->last_used = now;
    return chosen.server->node;
}

} // namespace damaskladder::routing
