#pragma once

#include "daemon/evacuation_monitor.hpp"
#include "daemon/leaving_report.hpp"
#include "daemon/local_api.hpp"
#include "daemon/node_settings.hpp"
#include "daemon/traffic_frontend.hpp"
#include "daemon/traffic_quota.hpp"
#include "node/traffic_machine.hpp"

#include <atomic>
#include <memory>
#include <thread>

namespace damaskladder::daemon {

/// Hooks of the traffic thread into the control thread. Called on the traffic thread; the control
/// thread replies through traffic_thread::post().
struct control_requests {
    std::function<void(const node::request_claim&)> acquire_claim;
    std::function<void(const node::release_claim&)> release_claim;
    std::function<void(const node::complete_claim&)> complete_claim;
    std::function<void(local_api::action, const membership::announcement&, local_api::done)>
        announce;
    /// A run of the backend server on this VM has said that it leaves.
    std::function<void(const base::instance_id&)> drain_run;
    std::function<void(const quota::quota_send&)> send_quota;
    std::function<std::string()> control_metrics;
};

/// Runs the HTTP front end and the traffic state machine of a node on a separate thread.
class traffic_thread {
public:
    traffic_thread(const wire::cluster_secret& secret, base::node_id self,
                   base::incarnation incarnation, const node_settings& settings,
                   const dialect& http_dialect, control_requests requests);
    ~traffic_thread();
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    /// Opens the listeners and starts the thread. Fails with io.
    base::result<void> start(std::shared_ptr<const traffic_view> view);

    /// Runs a call on the traffic thread. Thread-safe.
    void post(std::function<void(traffic_frontend&, traffic_quota&)> call);

    /// Publishes a new view. Thread-safe.
    void publish(std::shared_ptr<const traffic_view> view);

    /// Reports not ready; callers are still served.
    void prepare_stop();

    /// Stops accepting calls from other nodes.
    void leave();

    /// Stops accepting connections from callers; requests that have been read are served. Those
    /// read later are passed on only if they are answered by the given time.
    void stop_accepting(base::time_point end);

    /// Starts a graceful stop; done is called on the traffic thread when no request is running.
    void stop(std::function<void()> done);

    /// Stops the thread and interrupts running requests. Returns their number.
    std::size_t end();

private:
    http::event_loop m_loop;
    std::atomic<bool> m_ready = false;
    control_requests m_requests;
    node::traffic_machine m_machine;
    evacuation_monitor m_evacuations;
    leaving_report m_leaving;
    traffic_quota m_quota;
    local_api m_local;
    traffic_frontend m_frontend;
    traffic_addresses m_addresses;
    std::thread m_thread;
};

} // namespace damaskladder::daemon
