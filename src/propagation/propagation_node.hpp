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

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// The settings of one node: polls a relay or source, falls over to another one, puts newer
/// versions into force and knows how stale it may be. Never goes back to an older version.
///
/// Call tick() each 100 ms or more often, and receive() for each update and chunk.
class propagation_node {
public:
    propagation_node(propagation_options options, settings_hooks hooks, base::random_source random);

    /// Whom to ask, equals of each other; one is chosen at random. Replaces the earlier list; the
    /// one in use is kept if it is in the new list.
    void set_upstreams(std::vector<peer> upstreams);

    effects tick(base::time_point now);
    effects receive(const base::node_id& from, const update& body, base::time_point now);
    effects receive(const base::node_id& from, const copy_chunk& body, base::time_point now);

    /// Version in force; 0 before the first.
    base::settings_version version() const { return m_version; }

    /// Upper bound on the time since when the version in force may not have been the newest any
    /// more. None before the first answer.
    std::optional<base::duration> staleness(base::time_point now) const;
    /// What is known about freshness, in the terms of staleness().
    const std::optional<freshness_stamp>& stamp() const { return m_freshness.best(); }

    /// Whom this node asks at present.
    std::optional<peer> upstream() const;

    /// Called with each difference that came into force, and before with none after a full copy.
    using change_listener = std::function<void(const std::optional<settings_difference>&)>;
    void on_change(change_listener listener) { m_listener = std::move(listener); }

private:
    void send_poll(base::time_point now);
    void fail_over();
    /// False if a difference between the version in force and the first one is missing.
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
    std::size_t m_upstream = 0;
    poll_id m_last_poll;
    /// Polls without an answer and when they were sent; the few newest.
    std::map<poll_id, base::time_point> m_outstanding_polls;
    base::time_point m_next_poll{};
    /// Answer awaited until then; none if nothing is open with the present upstream.
    std::optional<base::time_point> m_answer_due;
    std::optional<copy_transfer> m_copy;
    std::vector<send> m_sends;
    bool m_copy_required = false;
    bool m_changed = false;
};

} // namespace damaskladder::propagation
