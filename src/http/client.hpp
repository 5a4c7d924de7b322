#pragma once

#include "http/event_loop.hpp"
#include "http/transfer.hpp"

#include <memory>
#include <unordered_map>
#include <vector>

namespace damaskladder::http {

/// Sends requests on kept connections, on the thread of an event loop.
class client {
public:
    explicit client(event_loop& loop);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Starts a request. The hooks run on the loop's thread, never before send() returned.
    std::shared_ptr<transfer> send(client_request request, transfer::hooks calls);

    std::size_t open_transfers() const { return m_transfers.size(); }

private:
    friend class transfer;
    friend struct client_callbacks;

    void socket_ready(int fd, int events);
    void collect();
    void remove(transfer& ended);
    /// Handles of ended transfers are used again.
    void* take_handle();
    void give_back_handle(void* handle);
    void defer(std::function<void()> call);

    event_loop& m_loop;
    void* m_multi = nullptr;
    std::optional<base::time_point> m_timer;
    /// Whether libcurl is on the stack; it forbids removing a transfer from within its callbacks.
    int m_in_curl = 0;
    std::unordered_map<void*, std::shared_ptr<transfer>> m_transfers;
    std::vector<void*> m_free_handles;
};

} // namespace damaskladder::http
