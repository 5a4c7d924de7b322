#pragma once

#include "http/client_request.hpp"
#include "http/response_head.hpp"
#include "http/transfer_result.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::http {

class client;
class client_connection;

/// A request sent by the client and its response. Used only on the client's loop thread.
///
/// A request is sent at most once. If a reused connection turns out to be closed before a byte was
/// sent on it, the transfer ends as not_sent, otherwise as broken.
class transfer : public std::enable_shared_from_this<transfer> {
public:
    struct hooks {
        /// A connection is established; bytes of the request may be sent from now on.
        std::function<void()> on_connected;
        /// Status and headers of the final response. Called once; interim responses are skipped.
        std::function<void(response_head)> on_head;
        /// Bytes of the response body. Return false to pause; the same bytes are passed again after
        /// resume().
        std::function<bool(std::string_view)> on_body;
        /// Copies up to `size` bytes of the request body to `out` and returns their number. 0 means
        /// that no bytes are available yet if body_pending() holds, otherwise the end of the body.
        std::function<std::size_t(char* out, std::size_t size)> read_body;
        /// Whether more of the request body may become available.
        std::function<bool()> body_pending;
        /// The transfer has ended. Called exactly once, unless the client is destroyed first.
        std::function<void(const transfer_result&)> on_end;
    };

    transfer(client& owner, client_request request, hooks calls, base::time_point now);
    ~transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    /// Continues after on_body returned false or read_body had no bytes. Takes effect after the
    /// current handler.
    void resume();

    /// Ends the transfer and closes its connection. on_end runs before this returns, or as a posted
    /// call if cancel() is called from a hook of any transfer.
    void cancel();

    /// Whether bytes of the request may have been sent.
    bool may_have_sent() const { return m_may_have_sent; }

private:
    friend class client;
    friend class client_connection;

    // Called by the connection.
    /// Ends the transfer as not_sent if its time has run out, which a pause of the process may have
    /// hidden from the timers.
    void connection_ready(base::time_point now);
    void head_received(response_head head);
    void body_received(std::string_view data);
    void response_complete();
    std::size_t read_body(char* out, std::size_t size);
    bool body_pending();
    /// Whether received body bytes are held until resume().
    bool paused() const { return !m_unconsumed.empty(); }

    void continue_transfer();
    void handle_timeout(base::time_point now);
    void end(const transfer_result& result);
    /// Ends the transfer without running a hook.
    void abandon();

    client& m_client;
    client_request m_request;
    hooks m_hooks;
    std::shared_ptr<client_connection> m_connection;
    /// Body bytes not yet accepted by on_body.
    std::string m_unconsumed;
    base::time_point m_connect_deadline;
    base::time_point m_deadline = base::time_point::max();
    /// Position in the client's timers.
    std::optional<std::multimap<base::time_point, transfer*>::iterator> m_timer;
    bool m_may_have_sent = false;
    bool m_response_complete = false;
    /// cancel() was called from a hook and takes effect after it returns.
    bool m_cancelling = false;
    bool m_ended = false;
};

} // namespace damaskladder::http
