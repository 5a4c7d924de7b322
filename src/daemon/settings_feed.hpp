#pragma once

#include "daemon/messenger.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/replica_host.hpp"
#include "settings/compiled_settings.hpp"
#include "wire/settings_answer.hpp"
#include "wire/settings_poll.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace damaskladder::daemon {

/// Keeps the settings of a node up to date: polls the control replicas, and answers the polls of
/// other nodes where this process runs a replica.
///
/// The version in force never goes back. The settings are known to be the newest as of the time at
/// which the answered poll was sent, so no clock but this node's own is used.
class settings_feed {
public:
    struct hooks {
        std::function<void(std::shared_ptr<const settings::compiled_settings>)> changed;
        /// The settings were certainly the newest at this local time.
        std::function<void(base::time_point)> confirmed;
    };

    /// replica is null where this process runs none.
    settings_feed(http::event_loop& loop, messenger& messages, const process_settings& settings,
                  replica_host* replica, hooks calls);

    /// Begins to poll.
    void start() { tick(); }

    /// The control replica that confirmed the settings lately, which then led.
    std::optional<base::node_id> leader() const;

private:
    void tick();
    void receive(const base::node_id& sender, const wire::settings_poll& poll);
    void receive(const wire::settings_answer& answer);
    void answer(const base::node_id& to, const base::message_address& address,
                const wire::settings_poll& poll);
    void take_tree(const wire::settings_answer& answer);

    http::event_loop& m_loop;
    messenger& m_messages;
    const process_settings& m_settings;
    replica_host* m_replica;
    hooks m_hooks;
    std::vector<base::node_id> m_replicas;
    /// Position in m_replicas of the one to poll.
    std::size_t m_polled = 0;
    base::settings_version m_version;
    base::time_point m_confirmed_at;
};

} // namespace damaskladder::daemon
