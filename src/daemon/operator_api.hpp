#pragma once

#include "base/random_source.hpp"
#include "daemon/body_budget.hpp"
#include "daemon/dialect.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/replica_host.hpp"
#include "http/server.hpp"
#include "wire/key_hasher.hpp"

namespace damaskladder::daemon {

/// HTTP API of a control replica for operators: commands as POST /v1/command (see
/// operator_command.hpp) and queries as GET (see operator_query.hpp), authorized by the operator's
/// token as bearer token. Only the leader serves them; other replicas name the leader.
class operator_api {
public:
    operator_api(http::event_loop& loop, replica_host& host, const wire::cluster_secret& secret,
                 const process_settings& settings, const dialect& http_dialect);

    /// Fails with io.
    base::result<void> listen(const http::address& endpoint) { return m_server.listen(endpoint); }
    void drain() { m_server.drain(); }

private:
    using exchange_ptr = std::shared_ptr<http::exchange>;

    void on_request(const exchange_ptr& exchange);
    /// Handles a call that reads or writes a whole settings document. In dialects with such calls
    /// they need no authorization: any client that can reach the listener may make them.
    void run_document_call(const exchange_ptr& exchange, const operator_call& call);
    void put_document(const exchange_ptr& exchange, const operator_call& call);
    void read_document(const exchange_ptr& exchange);
    /// Starts or ends an evacuation as the first admin. The call has no id of its own, and repeats
    /// have no effect, so each gets a new change id.
    void order_evacuation(const exchange_ptr& exchange, const operator_call& call);
    /// Responds with 503 and returns true if this replica leads a cluster in which the first admin
    /// does not exist yet.
    bool refuse_before_first_admin(http::exchange& exchange);
    /// Redirects to the leader, or reports that it is unknown.
    void redirect(const exchange_ptr& exchange, const control::submission_refused& refused);
    void run_own_call(const exchange_ptr& exchange);
    void run_command(const exchange_ptr& exchange, const base::operator_id& author);
    /// POST /v1/replica: {"verb": "add-replica" | "remove-replica", "name": NAME, "identity": N}.
    /// Permitted only for admins of the root.
    void run_replica_change(const exchange_ptr& exchange, const base::operator_id& author);
    void answer(const exchange_ptr& exchange, const base::operator_id& author,
                const std::variant<control::reply, control::submission_refused>& result);
    void show_answer(http::exchange& exchange, const base::operator_id& author);
    void run_query(const exchange_ptr& exchange, const base::operator_id& author);
    /// Returns nullopt if the token is missing or unknown.
    std::optional<base::operator_id> authenticate(const http::request_head& head) const;

    replica_host& m_host;
    const process_settings& m_settings;
    const dialect& m_dialect;
    wire::key_hasher m_tokens;
    base::random_source m_random;
    /// Bodies that are being received.
    body_budget m_bodies;
    http::server m_server;
};

} // namespace damaskladder::daemon
