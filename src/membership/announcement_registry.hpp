#pragma once

#include "base/port_number.hpp"
#include "base/service_id.hpp"
#include "base/time.hpp"
#include "membership/announce_verdict.hpp"
#include "membership/announcement.hpp"
#include "membership/announcement_options.hpp"
#include "membership/backend_server.hpp"

#include <vector>

namespace damaskladder::membership {

/// The backend servers that announced themselves on this VM. A service and port name one of them.
///
/// Draining lasts until the backend server withdraws or its lease ends; renewing does not end it.
/// A server that names its run (announcement::instance) is held to the order of its messages: one
/// that is older than the last, that comes from an earlier run at the port, or that follows the
/// withdrawal of its run is outdated and changes nothing. A later run at a port ends the earlier
/// one.
///
/// The lease ends exactly at renewal + lease. Pass backends() to membership_node::set_backends()
/// after each call.
class announcement_registry {
public:
    explicit announcement_registry(announcement_options options);

    /// Announces or renews. Slots, connections and cold replace the earlier ones.
    announce_verdict announce(const announcement& request, base::time_point now);
    /// Withdraws the run that the offer names, whatever its service and port, or else as below.
    announce_verdict withdraw(const announcement& request, base::time_point now);
    announce_verdict withdraw(const base::service_id& service, base::port_number port,
                              const credential_text& credential);
    announce_verdict drain(const base::service_id& service, base::port_number port,
                           const credential_text& credential);
    /// Drains everything, because the node itself stops.
    void drain_all();

    /// Ends leases that ran out. Returns true if one did.
    bool expire(base::time_point now);

    /// Current announcements in the order of service and port.
    std::vector<backend_server> backends() const;

private:
    struct lease {
        backend_server backend;
        base::time_point ends;
        run_position position;
    };
    /// A run that withdrew.
    struct ended_run {
        base::instance_id instance;
        run_position position;
        base::time_point forget_at;
    };
    using position = std::vector<lease>::iterator;

    position find(const base::service_id& service, base::port_number port);
    bool is_outdated(const announcement& request) const;
    bool permitted(const credential_text& credential, const base::service_id& service) const;
    bool valid(const announcement& request) const;

    announcement_options m_options;
    std::vector<lease> m_leases;
    std::vector<ended_run> m_ended;
};

} // namespace damaskladder::membership
