#pragma once

#include "base/random_source.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "propagation/copy_transfer.hpp"
#include "propagation/effects.hpp"
#include "propagation/freshness_tracker.hpp"
#include "propagation/poll_id.hpp"
#include "propagation/propagation_options.hpp"
#include "propagation/settings_hooks.hpp"
#include "propagation/upstream_list.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Settings client of one node. Polls a relay or source, fails over to another one, applies newer
/// versions and bounds the staleness of the applied version. Never reverts to an older version.
///
/// Call tick() at least every 100 ms, and receive() for each update and chunk.
class propagation_node {
public:
    propagation_node(propagation_options options, settings_hooks hooks, base::random_source random);

    /// Replaces the upstreams. The current one is kept if the new list contains it; otherwise one
    /// of the preferred is chosen at random. After a failure the others are polled too, for a time
    /// of options.preferred_retry_after, after which a preferred one is tried again.
    void set_upstreams(upstream_list upstreams);

    effects tick(base::time_point now);
    effects receive(const base::node_id& from, const update& body, base::time_point now);
    effects receive(const base::node_id& from, const copy_chunk& body, base::time_point now);

    /// Applied version; 0 before the first one.
    base::settings_version version() const { return m_version; }

    /// Upper bound on the time for which the applied version may have been outdated. None before
    /// the first answer.
    std::optional<base::duration> staleness(base::time_point now) const;
    /// The stamp from which staleness() is computed.
    const std::optional<freshness_stamp>& stamp() const { return m_freshness.best(); }

    /// The upstream that is polled; none if the list is empty.
    std::optional<peer> upstream() const;
    /// The preferred upstreams, followed by the others.
    const std::vector<peer>& upstreams() const { return m_upstreams; }
    /// Time of the latest answer to a poll, whether or not it said how fresh the settings are.
    const std::optional<base::time_point>& last_answer() const { return m_last_answer; }

    /// Called after each applied difference, and with none after an applied full copy.
    using change_listener = std::function<void(const std::optional<settings_difference>&)>;
    void on_change(change_listener listener) { m_listener = std::move(listener); }

private:
    void poll_upstream(base::time_point now);
    /// Polls all upstreams but the one that poll_upstream() polled last.
    void poll_other_upstreams(base::time_point now);
    void send_poll(const peer& to, base::time_point now);
    /// Whether the applied settings are so old that several upstreams are polled.
    bool hedges(base::time_point now) const;
    /// Makes the sender of a current answer the upstream.
    void switch_to(const base::node_id& upstream);
    void fail_over();
    /// Moves back to a preferred upstream if that is due.
    void return_to_preferred(base::time_point now);
    /// False if a difference between the applied version and the next one given is missing.
    bool apply(const std::vector<settings_difference>& differences);
    void version_applied(base::settings_version version,
                         const std::optional<settings_difference>& difference);
    void start_copy(const peer& from, const copy_offer& offer, base::time_point now);
    void request_chunks(base::time_point now);
    effects take_effects();

    propagation_options m_options;
    settings_hooks m_hooks;
    base::random_source m_random;
    change_listener m_listener;
    base::settings_version m_version;
    freshness_tracker m_freshness;
    std::vector<peer> m_upstreams;
    /// The first m_preferred of m_upstreams are preferred.
    std::size_t m_preferred = 0;
    std::size_t m_upstream = 0;
    /// When a preferred upstream is polled again; none while the current one is preferred.
    std::optional<base::time_point> m_return_at;
    poll_id m_last_poll;
    /// The newest unanswered polls, with the times at which they were sent.
    std::map<poll_id, base::time_point> m_outstanding_polls;
    base::time_point m_next_poll{};
    /// Deadline of the answer; none if no poll to the current upstream is outstanding.
    std::optional<base::time_point> m_answer_due;
    /// When the other upstreams are polled too; none if that is not planned.
    std::optional<base::time_point> m_hedge_due;
    base::node_id m_polled;
    std::optional<base::time_point> m_last_answer;
    std::optional<copy_transfer> m_copy;
    std::vector<send> m_sends;
    bool m_copy_required = false;
    bool m_changed = false;
};

} // namespace damaskladder::propagation
