#pragma once

#include "base/node_id.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "propagation/chunk_request.hpp"
#include "propagation/difference_log.hpp"
#include "propagation/freshness.hpp"
#include "propagation/poll.hpp"
#include "propagation/propagation_options.hpp"
#include "propagation/replica_list.hpp"
#include "propagation/send.hpp"
#include "propagation/settings_copy.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// The server side of a source or relay: answers polls with differences or an offer of a full copy,
/// serves chunks, and pushes changes to recent pollers.
class update_server {
public:
    update_server(const propagation_options& options, std::function<settings_copy()> copy);

    /// A version was applied, by the difference or, if none is given, by a full copy.
    void version_applied(base::settings_version version,
                         const std::optional<settings_difference>& difference);

    /// Answers a poll and records its sender for later pushes.
    send answer(const base::node_id& from, const poll& body, const std::optional<freshness>& fresh,
                base::time_point now);
    /// Sets the control replicas of which pollers are told. An older list is ignored.
    void set_replicas(const replica_list& replicas);
    /// The newest list; empty before the first one.
    const replica_list& replicas() const { return m_replicas; }
    /// The list of control replicas for a poller, if it is due.
    std::optional<send> take_replica_list(const base::node_id& to, base::time_point now);

    /// None if the copy is no longer held; the requester polls again.
    std::optional<send> answer(const base::node_id& from, const chunk_request& body) const;

    /// Messages with the changes since the last call, for recent pollers.
    std::vector<send> take_pushes(base::time_point now);

private:
    struct poller {
        base::message_address address;
        base::settings_version version;
        base::time_point last_poll;
        replica_list_version sent_replicas;
        base::time_point replicas_sent_at;
    };
    struct prepared_copy {
        settings_copy copy;
        base::time_point created;
    };

    std::optional<copy_offer> offer_copy(base::time_point now);
    std::uint32_t chunk_count(const settings_copy& copy) const;
    bool continues_from(base::settings_version version) const;

    propagation_options m_options;
    std::function<settings_copy()> m_copy;
    base::settings_version m_version;
    difference_log m_log;
    std::map<base::node_id, poller> m_pollers;
    std::deque<prepared_copy> m_prepared_copies;
    replica_list m_replicas;
    bool m_push_pending = false;
};

} // namespace damaskladder::propagation
