#include "propagation/propagation_node.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::propagation {

namespace {

/// Answers to older polls are not needed once newer polls are outstanding.
constexpr std::size_t max_outstanding_polls = 32;

} // namespace

propagation_node::propagation_node(propagation_options options, settings_hooks hooks,
                                   base::random_source random)
    : m_options(std::move(options)),
      m_hooks(std::move(hooks)),
      m_random(std::move(random)),
      // Poll ids start at random, so that an answer to a poll of an earlier run is not taken for
      // an answer to a poll of this run.
      m_last_poll(m_random() / 2 + 1)
{
}

void propagation_node::set_upstreams(upstream_list upstreams)
{
    const std::optional<peer> current = upstream();
    std::erase(upstreams.preferred, m_options.self);
    std::erase(upstreams.others, m_options.self);
    m_upstreams = std::move(upstreams.preferred);
    m_preferred = m_upstreams.size();
    m_upstreams.insert(m_upstreams.end(), upstreams.others.begin(), upstreams.others.end());
    if (m_upstreams.empty()) {
        return;
    }
    const auto found = std::find(m_upstreams.begin(), m_upstreams.end(), current);
    if (found != m_upstreams.end()) {
        m_upstream = static_cast<std::size_t>(found - m_upstreams.begin());
        return;
    }
    m_upstream = m_random() % (m_preferred == 0 ? m_upstreams.size() : m_preferred);
    m_answer_due.reset();
    m_next_poll = {};
}

std::optional<peer> propagation_node::upstream() const
{
    return m_upstream < m_upstreams.size() ? std::optional(m_upstreams[m_upstream]) : std::nullopt;
}

effects propagation_node::tick(base::time_point now)
{
    if (m_answer_due.has_value() && now >= *m_answer_due) {
        fail_over();
    }
    if (m_copy.has_value() && m_copy->timed_out(now)) {
        m_copy.reset();
        fail_over();
    }
    request_chunks(now);
    return_to_preferred(now);
    if (now >= m_next_poll) {
        poll_upstream(now);
    }
    if (m_hedge_due.has_value() && now >= *m_hedge_due) {
        m_hedge_due.reset();
        poll_other_upstreams(now);
    }
    return take_effects();
}

bool propagation_node::hedges(base::time_point now) const
{
    const std::optional<base::duration> age = staleness(now);
    return age.has_value() && *age > m_options.hedge_above_age;
}

void propagation_node::poll_upstream(base::time_point now)
{
    const std::optional<peer> current = upstream();
    if (!current.has_value()) {
        return;
    }
    m_next_poll = now + m_options.poll_interval;
    if (!m_answer_due.has_value()) {
        m_answer_due = now + m_options.answer_timeout;
    }
    if (hedges(now) && !m_hedge_due.has_value()) {
        m_hedge_due = now + m_options.hedge_delay;
    }
    m_polled = current->node;
    send_poll(*current, now);
}

void propagation_node::poll_other_upstreams(base::time_point now)
{
    for (const peer& other : m_upstreams) {
        if (other.node != m_polled) {
            send_poll(other, now);
        }
    }
}

void propagation_node::send_poll(const peer& to, base::time_point now)
{
    m_last_poll = poll_id(m_last_poll.value() + 1);
    m_outstanding_polls[m_last_poll] = now;
    if (m_outstanding_polls.size() > max_outstanding_polls) {
        m_outstanding_polls.erase(m_outstanding_polls.begin());
    }
    m_sends.push_back({to, poll{m_last_poll, m_options.self.address, m_options.domain, m_version,
                                m_copy_required}});
}

void propagation_node::fail_over()
{
    m_answer_due.reset();
    m_next_poll = {};
    if (!m_upstreams.empty()) {
        m_upstream = (m_upstream + 1) % m_upstreams.size();
    }
}

void propagation_node::return_to_preferred(base::time_point now)
{
    if (m_upstream < m_preferred || m_preferred == 0 || hedges(now)) {
        m_return_at.reset();
        return;
    }
    if (!m_return_at) {
        m_return_at = now + m_options.preferred_retry_after;
    }
    if (now >= *m_return_at && !m_answer_due) {
        m_return_at.reset();
        m_upstream = m_random() % m_preferred;
    }
}

void propagation_node::switch_to(const base::node_id& upstream)
{
    const auto found =
        std::find_if(m_upstreams.begin(), m_upstreams.end(),
                     [&](const peer& candidate) { return candidate.node == upstream; });
    if (found != m_upstreams.end()) {
        m_upstream = static_cast<std::size_t>(found - m_upstreams.begin());
        m_answer_due.reset();
    }
}

effects propagation_node::receive(const base::node_id& from, const update& body,
                                  base::time_point now)
{
    const bool fits = apply(body.differences);
    auto open = m_outstanding_polls.find(body.id);
    const bool stale = !body.fresh.has_value() || body.fresh->age > m_options.max_relay_age;
    if (open != m_outstanding_polls.end() && !stale) {
        if (hedges(now)) {
            switch_to(from);
        }
        m_hedge_due.reset();
    }
    const std::optional<peer> current = upstream();
    const bool from_current = current.has_value() && current->node == from;
    if (open != m_outstanding_polls.end()) {
        m_last_answer = now;
        if (body.fresh.has_value() && body.fresh->age >= base::duration::zero()) {
            m_freshness.add({body.fresh->version, open->second, body.fresh->age}, m_version);
        }
        m_outstanding_polls.erase(open);
        if (from_current) {
            m_answer_due.reset();
            if (stale && m_upstreams.size() > 1) {
                fail_over();
                m_next_poll = now + m_options.poll_interval;
            }
        }
    }
    const bool more_available = !body.differences.empty() && !m_copy_required &&
                                body.fresh.has_value() && body.fresh->version > m_version;
    if (!fits || more_available) {
        m_next_poll = std::min(m_next_poll, now);
    }
    if (body.copy.has_value() && body.copy->version > m_version && current.has_value()) {
        start_copy(from_current ? *current : peer{}, *body.copy, now);
    }
    request_chunks(now);
    return take_effects();
}

effects propagation_node::receive(const base::node_id& from, const copy_chunk& body,
                                  base::time_point now)
{
    if (!m_copy.has_value() || m_copy->source().node != from) {
        return take_effects();
    }
    m_copy->add(body, now);
    const std::optional<settings_copy> copy = m_copy->complete();
    if (copy.has_value()) {
        m_copy.reset();
        if (copy->version > m_version && m_hooks.replace(*copy)) {
            m_copy_required = false;
            version_applied(copy->version, std::nullopt);
        }
        m_next_poll = now;
    }
    request_chunks(now);
    return take_effects();
}

bool propagation_node::apply(const std::vector<settings_difference>& differences)
{
    for (const settings_difference& difference : differences) {
        if (difference.to <= m_version) {
            continue;
        }
        if (difference.from != m_version) {
            return false;
        }
        if (!m_hooks.apply(difference)) {
            m_copy_required = true;
            return true;
        }
        version_applied(difference.to, difference);
    }
    return true;
}

void propagation_node::version_applied(base::settings_version version,
                                       const std::optional<settings_difference>& difference)
{
    m_version = version;
    m_changed = true;
    m_freshness.version_applied(version);
    if (m_copy.has_value() && m_copy->version() <= version) {
        m_copy.reset();
    }
    if (m_listener) {
        m_listener(difference);
    }
}

void propagation_node::start_copy(const peer& from, const copy_offer& offer, base::time_point now)
{
    const bool valid = offer.chunks > 0 && offer.chunks <= m_options.max_chunks_per_copy;
    if (m_copy.has_value() || !valid || from.node.value().empty()) {
        return;
    }
    m_copy.emplace(from, offer, m_options, now);
}

void propagation_node::request_chunks(base::time_point now)
{
    if (!m_copy.has_value()) {
        return;
    }
    for (const std::uint32_t chunk : m_copy->chunks_to_request(now)) {
        m_sends.push_back(
            {m_copy->source(), chunk_request{m_options.self.address, m_copy->version(), chunk}});
    }
}

std::optional<base::duration> propagation_node::staleness(base::time_point now) const
{
    const std::optional<freshness_stamp>& best = m_freshness.best();
    return best.has_value() ? std::optional(best->staleness_bound(now)) : std::nullopt;
}

effects propagation_node::take_effects()
{
    effects result;
    result.sends = std::exchange(m_sends, {});
    result.version_changed = std::exchange(m_changed, false);
    return result;
}

} // namespace damaskladder::propagation
