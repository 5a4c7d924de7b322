#include "http/transfer.hpp"

#include "http/client.hpp"
#include "http/client_connection.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::http {

transfer::transfer(client& owner, client_request request, hooks calls, base::time_point now)
    : m_client(owner),
      m_request(std::move(request)),
      m_hooks(std::move(calls)),
      m_connect_deadline(now + m_request.connect_timeout)
{
    if (m_request.timeout > base::duration::zero()) {
        m_deadline = now + m_request.timeout;
    }
}

void transfer::connection_ready(base::time_point now)
{
    if (std::min(m_connect_deadline, m_deadline) <= now) {
        end({transfer_result::kind::not_sent, "timed out before the request was sent"});
        return;
    }
    m_may_have_sent = true;
    m_connect_deadline = base::time_point::max();
    m_client.clear_timer(*this);
    if (m_deadline != base::time_point::max()) {
        m_client.set_timer(*this, m_deadline);
    }
    if (m_hooks.on_connected && !m_cancelling) {
        const client::hook_scope scope(m_client);
        m_hooks.on_connected();
    }
}

void transfer::head_received(response_head head)
{
    if (m_hooks.on_head && !m_cancelling) {
        const client::hook_scope scope(m_client);
        m_hooks.on_head(std::move(head));
    }
}

void transfer::body_received(std::string_view data)
{
    if (m_cancelling || !m_hooks.on_body) {
        return;
    }
    const client::hook_scope scope(m_client);
    if (!m_unconsumed.empty() || !m_hooks.on_body(data)) {
        m_unconsumed.append(data);
    }
}

void transfer::response_complete()
{
    m_response_complete = true;
    if (m_unconsumed.empty()) {
        end({transfer_result::kind::complete, {}});
    }
}

std::size_t transfer::read_body(char* out, std::size_t size)
{
    const client::hook_scope scope(m_client);
    return m_hooks.read_body ? m_hooks.read_body(out, size) : 0;
}

bool transfer::body_pending()
{
    const client::hook_scope scope(m_client);
    return m_hooks.body_pending && m_hooks.body_pending();
}

void transfer::resume()
{
    if (!m_ended) {
        m_client.loop().post([self = shared_from_this()] { self->continue_transfer(); });
    }
}

void transfer::continue_transfer()
{
    if (m_ended || m_cancelling) {
        return;
    }
    if (!m_unconsumed.empty()) {
        const client::hook_scope scope(m_client);
        if (m_hooks.on_body && !m_hooks.on_body(m_unconsumed)) {
            return;
        }
        m_unconsumed.clear();
    }
    if (m_cancelling) {
        return;
    }
    if (m_response_complete) {
        end({transfer_result::kind::complete, {}});
    }
    else if (const auto connection = m_connection) {
        connection->resume();
    }
}

void transfer::handle_timeout(base::time_point now)
{
    if (m_ended) {
        return;
    }
    const auto keep = shared_from_this();
    if (m_connect_deadline <= now && !m_may_have_sent) {
        end({transfer_result::kind::not_sent, "timed out while connecting"});
        return;
    }
    if (m_deadline > now) {
        m_client.set_timer(*this, m_deadline);
        return;
    }
    end({m_may_have_sent ? transfer_result::kind::broken : transfer_result::kind::not_sent,
         "timed out waiting for the response"});
}

void transfer::cancel()
{
    if (m_ended) {
        return;
    }
    if (m_client.in_hook()) {
        // The calling hook may belong to this transfer; its captures must stay valid until it
        // returns.
        m_cancelling = true;
        m_client.loop().post([self = shared_from_this()] { self->cancel(); });
        return;
    }
    end({m_may_have_sent ? transfer_result::kind::cancelled : transfer_result::kind::not_sent,
         "cancelled"});
}

void transfer::end(const transfer_result& result)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    const auto keep = shared_from_this();
    m_client.clear_timer(*this);
    if (const auto connection = std::exchange(m_connection, nullptr)) {
        connection->close();
    }
    m_client.remove(keep);
    const auto calls = std::exchange(m_hooks, {});
    if (calls.on_end) {
        const client::hook_scope scope(m_client);
        calls.on_end(result);
    }
}

void transfer::abandon()
{
    m_ended = true;
    m_client.clear_timer(*this);
    m_hooks = {};
    if (const auto connection = std::exchange(m_connection, nullptr)) {
        connection->close();
    }
}

} // namespace damaskladder::http
