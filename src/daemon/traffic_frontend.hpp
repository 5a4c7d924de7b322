#pragma once

#include "base/incarnation.hpp"
#include "daemon/dialect.hpp"
#include "daemon/inbound_request.hpp"
#include "daemon/log_rate_limiter.hpp"
#include "daemon/outbound_request.hpp"
#include "daemon/parsed_request.hpp"
#include "daemon/traffic_addresses.hpp"
#include "daemon/traffic_hooks.hpp"
#include "daemon/traffic_logic.hpp"
#include "daemon/traffic_metrics.hpp"
#include "daemon/traffic_view.hpp"
#include "daemon/word_memory.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "wire/context_codec.hpp"
#include "wire/key_hasher.hpp"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::daemon {

/// HTTP front end of a node, on the thread of one event loop: translates requests and responses
/// into events of the traffic state machine and performs its effects. It makes no decisions about
/// requests, other than refusing malformed input.
class traffic_frontend {
public:
    /// The limits apply to the listeners of callers and of the backend server. Other nodes and
    /// operators are served one request at a time on each connection.
    traffic_frontend(http::event_loop& loop, const wire::cluster_secret& secret,
                     base::incarnation incarnation, http::server_limits limits,
                     dialect http_dialect, traffic_logic logic, traffic_hooks hooks);

    /// Opens the listeners. Fails with io.
    base::result<void> listen(const traffic_addresses& addresses);
    std::uint16_t callers_port() const { return m_callers.port(); }
    std::uint16_t peers_port() const { return m_peers.port(); }
    std::uint16_t backend_server_port() const { return m_backend_servers.port(); }

    /// Replaces the view. Must be called on the loop's thread.
    void set_view(std::shared_ptr<const traffic_view> view) { m_view = std::move(view); }

    /// Delivers an event to the traffic state machine and performs the resulting effects. Must be
    /// called on the loop's thread.
    void deliver(node::event new_event);

    /// Keeps serving callers, but asks them to close their connections.
    void prepare_stop() { m_callers.disable_keep_alive(); }

    /// Stops accepting calls from other nodes; callers are still served.
    void leave() { deliver(node::stop_requested{}); }

    /// Stops accepting connections from callers and closes idle ones. Requests that still arrive on
    /// open connections are passed on only if they are answered by the given time.
    void stop_accepting(base::time_point end)
    {
        deliver(node::stop_scheduled{end});
        m_callers.drain();
        m_callers.close_idle_connections();
    }

    /// Starts a graceful stop.
    void stop();
    /// Whether no request is running after stop(). Answers may still lie in the process's buffers.
    bool idle() const { return m_stopping && m_inbound.empty(); }
    /// Whether, besides, all answers have been passed to the kernel, which sends them also after
    /// the exit.
    bool stopped() const;
    /// Whether settings have arrived, which are required to decide on requests.
    bool settings_known() const { return m_view && m_view->node->settings_known(); }
    std::size_t running() const { return m_inbound.size(); }

    /// Returns the metrics in the Prometheus text exposition format.
    std::string metrics_text() const;

private:
    using inbound_ptr = std::shared_ptr<inbound_request>;
    using outbound_ptr = std::shared_ptr<outbound_request>;

    void on_request(const std::shared_ptr<http::exchange>& exchange, inbound_listener listener);
    void on_request_body(const inbound_ptr& request);
    void submit(const inbound_ptr& request);
    void submit_caller(const inbound_ptr& request);
    void submit_onward(const inbound_ptr& request, const parsed_request& parsed);
    void submit_peer(const inbound_ptr& request);
    /// Delivers turn_reached for a request that has arrived behind others.
    void on_turn(node::exchange_id id);
    void end(node::exchange_id id);

    void perform(const node::request_token& wanted) { m_hooks.acquire_token(wanted); }
    void perform(const node::return_token& wanted) { m_hooks.refund_token(wanted); }
    void perform(const node::request_claim& wanted) { m_hooks.acquire_claim(wanted); }
    void perform(const node::release_claim& wanted) { m_hooks.release_claim(wanted); }
    void perform(const node::complete_claim& wanted) { m_hooks.complete_claim(wanted); }
    void perform(const node::forward_to_gatekeeper& wanted);
    void perform(const node::start_at_backend_server& wanted);
    void perform(const node::refuse& wanted);
    void perform(const node::relay_response& wanted);
    void perform(const node::replay_response& wanted);
    void perform(const node::abort_response& wanted);
    void perform(const node::cancel_transfer& wanted);

    void send(const inbound_ptr& request, const outbound_ptr& out, http::client_request call);
    std::size_t read_body(inbound_request& request, outbound_request& out, char* data,
                          std::size_t size) const;
    void on_response_head(const outbound_ptr& out, http::response_head head);
    /// Removes the fields that hold the key of the request or any other key in force.
    void remove_keys(const parsed_request& parsed, http::header_list& headers);
    bool is_key(std::string_view text);
    /// Returns whether the response of the local backend server belongs to its request. If not, has
    /// reported the outcome of the transfer to the traffic state machine.
    bool accept_response(const outbound_ptr& out);
    /// Passes on what the local backend server says of itself in its answer.
    void report_backend_state(const outbound_request& out);
    void on_gatekeeper_refusal(const outbound_ptr& out);
    bool on_response_body(const outbound_ptr& out, std::string_view data);
    void on_transfer_end(const outbound_ptr& out, const http::transfer_result& how);
    /// Builds the response head in the dialect of the listener that is refused.
    http::response_head refusal_head(const inbound_request& request,
                                     const node::refuse& refusal) const;
    void log_refusal(const inbound_request& request, const node::refuse& refusal);
    void refuse_malformed(const inbound_ptr& request, const base::failure& error);
    std::optional<base::time_point> round(base::time_point now);
    inbound_ptr find(node::exchange_id id) const;
    outbound_ptr find(node::transfer_id id) const;

    http::event_loop& m_loop;
    dialect m_dialect;
    wire::context_codec m_contexts;
    wire::key_hasher m_keys;
    /// Words of requests that are no keys.
    word_memory m_plain_words;
    base::incarnation m_incarnation;
    http::server_limits m_limits;
    traffic_logic m_logic;
    traffic_hooks m_hooks;
    std::shared_ptr<const traffic_view> m_view;
    traffic_metrics m_metrics;
    log_rate_limiter m_refusal_log_limiter;
    log_rate_limiter m_backend_log_limiter;
    /// Run of the backend server that was last reported as leaving.
    std::optional<base::instance_id> m_leaving_run;
    /// The state machine was last told of a rate of the backend server.
    bool m_rate_reported = false;

    std::unordered_map<node::exchange_id, inbound_ptr> m_inbound;
    std::unordered_map<node::transfer_id, outbound_ptr> m_outbound;
    std::uint64_t m_last_exchange = 0;
    base::time_point m_last_tick;
    bool m_stopping = false;
    /// Queue of events that arise while effects are performed, so that the traffic state machine
    /// handles events one at a time.
    std::vector<node::event> m_pending;
    bool m_handling = false;

    http::client m_client;
    http::server m_callers;
    http::server m_peers;
    http::server m_backend_servers;
    http::server m_ready;
};

} // namespace damaskladder::daemon
