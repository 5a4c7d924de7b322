#pragma once

#include "base/port_number.hpp"
#include "base/service_id.hpp"
#include "base/time.hpp"
#include "membership/announce_verdict.hpp"
#include "membership/announcement.hpp"
#include "membership/announcement_options.hpp"
#include "membership/backend_server.hpp"
#include "membership/local_announcement.hpp"
#include "membership/remembered_run.hpp"
#include "membership/run_ending.hpp"

#include <vector>

namespace damaskladder::membership {

/// Leases of the backend servers announced on this VM, identified by service and port.
///
/// Draining lasts until the backend server withdraws or its lease expires; a renewal does not end
/// it. Messages of a server that names its run (announcement::instance) must arrive in order: a
/// message is outdated and has no effect if it is older than the last one, if it comes from an
/// earlier run at the port, or if its run has withdrawn. A later run at a port replaces the earlier
/// one. Order and draining of a run also hold for two minutes after its lease has ended.
///
/// A lease expires exactly at renewal + lease. Pass backends() to membership_node::set_backends()
/// after each call.
class announcement_registry {
public:
    explicit announcement_registry(announcement_options options);

    /// Adds or renews an announcement. Slots, connections and cold replace the previous values.
    announce_verdict announce(const announcement& request, base::time_point now);
    /// Withdraws the run that the request names, whatever its service and port. A run without a
    /// lease is withdrawn as well if its position is known from the request or from before, since
    /// the node may have restarted. A request without an instance id is handled by the overload
    /// below.
    announce_verdict withdraw(const announcement& request, base::time_point now);
    announce_verdict withdraw(const base::service_id& service, base::port_number port,
                              const credential_text& credential);
    announce_verdict drain(const base::service_id& service, base::port_number port,
                           const credential_text& credential);
    /// Marks the run as draining. Returns false if it is not announced or drains already.
    bool drain_run(const base::instance_id& run);
    /// Marks all backend servers as draining, because the node itself stops.
    void drain_all();

    /// Removes expired leases, and marks servers as warm whose cold time has passed. Returns true
    /// if there was one.
    bool expire(base::time_point now);

    /// Runs that were withdrawn or drain, newest last, for `recover` after a restart.
    std::vector<run_ending> endings(base::time_point now) const;
    /// Takes back endings that were confirmed before the node restarted: late messages of these
    /// runs are outdated, and a lease that such a message has obtained meanwhile ends or drains.
    void recover(const std::vector<run_ending>& endings, base::time_point now);

    /// Announced backend servers, ordered by service and port.
    std::vector<backend_server> backends() const;
    /// The same servers, in the same order, with the times of their announcements.
    std::vector<local_announcement> announced() const;

private:
    struct lease {
        backend_server backend;
        base::time_point ends;
        run_position position;
        /// Position from which the run drains; not updated by later messages, so that what other
        /// nodes keep does not change with each of them.
        run_position drains_from = {};
        base::time_point cold_until = {};
        base::time_point announced_at = {};

        run_ending run() const { return {backend.instance, position, false}; }
    };
    using position = std::vector<lease>::iterator;

    position find(const base::service_id& service, base::port_number port);
    announce_verdict withdraw_without_lease(const announcement& request, base::time_point now);
    /// Sets the time at which the run is forgotten.
    void remember(remembered_run run, base::time_point now);
    /// The run of the message if it is remembered, otherwise nullptr.
    const remembered_run* find_remembered(const announcement& request) const;
    bool is_outdated(const announcement& request) const;
    bool permitted(const credential_text& credential, const base::service_id& service) const;
    bool valid(const announcement& request) const;

    announcement_options m_options;
    std::vector<lease> m_leases;
    /// In the order in which they ended; one for each run.
    std::vector<remembered_run> m_remembered;
};

} // namespace damaskladder::membership
