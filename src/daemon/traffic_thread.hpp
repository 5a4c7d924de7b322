#pragma once

#include "daemon/local_api.hpp"
#include "daemon/node_settings.hpp"
#include "daemon/traffic_frontend.hpp"
#include "daemon/traffic_quota.hpp"
#include "node/traffic_machine.hpp"

#include <atomic>
#include <memory>
#include <thread>

namespace damaskladder::daemon {

/// What the traffic thread asks of the control thread. Called on the traffic thread; the control
/// thread answers through traffic_thread::post().
struct control_requests {
    std::function<void(const node::request_claim&)> acquire_claim;
    std::function<void(const node::release_claim&)> release_claim;
    std::function<void(const node::complete_claim&)> complete_claim;
    std::function<void(local_api::action, const membership::announcement&, local_api::done)>
        announce;
    std::function<void(const quota::quota_send&)> send_quota;
    std::function<std::string()> control_metrics;
};

/// Runs the HTTP side and the traffic decisions of a node on a thread of their own.
class traffic_thread {
public:
    traffic_thread(const wire::cluster_secret& secret, base::node_id self,
                   base::incarnation incarnation, const node_settings& settings,
                   const dialect& http_dialect, control_requests requests);
    ~traffic_thread();
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    /// Listens and starts the thread. Fails with io.
    base::result<void> start(std::shared_ptr<const traffic_view> view);

    /// Runs a call on the traffic thread. From any thread.
    void post(std::function<void(traffic_frontend&, traffic_quota&)> call);

    /// Publishes a new view. From any thread.
    void publish(std::shared_ptr<const traffic_view> view);

    /// Readiness off; callers are still served.
    void prepare_stop();

    /// No more calls of other nodes are taken.
    void leave();

    /// No new connections of callers; requests that were read are served.
    void stop_accepting();

    /// Begins the graceful stop; done is called on the traffic thread when nothing runs any more.
    void stop(std::function<void()> done);

    /// Ends the thread, cutting off what runs. Returns the number of requests cut off.
    std::size_t end();

private:
    http::event_loop m_loop;
    std::atomic<bool> m_ready = false;
    control_requests m_requests;
    node::traffic_machine m_machine;
    traffic_quota m_quota;
    local_api m_local;
    traffic_frontend m_frontend;
    traffic_addresses m_addresses;
    std::thread m_thread;
};

} // namespace damaskladder::daemon
