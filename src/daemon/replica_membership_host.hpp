#pragma once

#include "consensus/membership_policy.hpp"
#include "daemon/messenger.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/replica_directory.hpp"
#include "daemon/replica_host.hpp"
#include "wire/replica_request.hpp"

namespace damaskladder::daemon {

/// Maintains the membership of the replicated log without operator action, on the control thread of
/// a process with a control replica: requests admission while this replica is not a member, and
/// applies the changes decided by membership_policy while it leads. Used only if replicas are
/// discovered by address.
class replica_membership_host {
public:
    replica_membership_host(http::event_loop& loop, messenger& messages,
                            const process_settings& settings, const replica_directory& directory,
                            replica_host& replica);

    void start() { tick(); }
    /// Notifies the leader that this replica stops.
    void leave();

private:
    void tick();
    void request_change(const consensus::membership_change& change);
    void request_removal();
    void receive(const wire::replica_request& request);
    void send_to_known_replicas(const wire::replica_request& request);

    http::event_loop& m_loop;
    messenger& m_messages;
    const process_settings& m_settings;
    const replica_directory& m_directory;
    replica_host& m_replica;
    consensus::membership_policy m_policy;
    bool m_leaving = false;
};

} // namespace damaskladder::daemon
