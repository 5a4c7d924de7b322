#pragma once

#include "http/client_request.hpp"
#include "http/response_head.hpp"
#include "http/transfer_end.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace damaskladder::http {

class client;

/// One request that the client sends and its answer. Belongs to the client's loop thread.
///
/// A request is sent at most once: libcurl's own resend on another connection is suppressed, and
/// the transfer ends as broken instead.
class transfer : public std::enable_shared_from_this<transfer> {
public:
    struct hooks {
        /// A connection stands; bytes of the request may be sent from now on.
        std::function<void()> on_connected;
        /// Status and headers of the answer, once; interim answers are left out.
        std::function<void(response_head)> on_head;
        /// Bytes of the answer's body. Return false to pause; the same bytes come again after
        /// resume().
        std::function<bool(std::string_view)> on_body;
        /// Moves up to `size` bytes of the request's body to `out` and returns their number, or
        /// nothing yet (0 with body_pending()), or the end (0 otherwise).
        std::function<std::size_t(char* out, std::size_t size)> read_body;
        /// Whether more of the request's body may come later.
        std::function<bool()> body_pending;
        /// The end, exactly once, unless the client is destroyed first.
        std::function<void(const transfer_end&)> on_end;
    };

    transfer(client& owner, client_request request, hooks calls);
    ~transfer();
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    /// Continues after on_body returned false or read_body had nothing.
    void resume();

    /// Ends the transfer and closes its connection. on_end runs before this returns, or in the
    /// loop's next round if called from a hook of a transfer.
    void cancel();

    /// Whether bytes of the request may have been sent.
    bool may_have_sent() const { return m_may_have_sent; }

private:
    friend class client;
    friend struct transfer_callbacks;

    /// A handle with the options that all transfers share.
    static void* make_handle();
    void start();
    void set_request_body();
    void set_headers();
    void end(const transfer_end& how);

    client& m_client;
    client_request m_request;
    hooks m_hooks;
    void* m_easy = nullptr;
    void* m_header_list = nullptr;
    response_head m_head;
    bool m_head_done = false;
    bool m_may_have_sent = false;
    bool m_resend_suppressed = false;
    /// cancel() was called within a call of libcurl and takes effect after it.
    bool m_cancelling = false;
    bool m_ended = false;
};

} // namespace damaskladder::http
