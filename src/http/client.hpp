#pragma once

#include "http/event_loop.hpp"
#include "http/idle_connections.hpp"
#include "http/transfer.hpp"

#include <map>
#include <memory>
#include <unordered_set>
#include <vector>

namespace damaskladder::http {

/// Sends requests over persistent connections, on the thread of an event loop.
class client {
public:
    explicit client(event_loop& loop);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Starts a request. The hooks run on the loop's thread, never before send() has returned.
    std::shared_ptr<transfer> send(client_request request, transfer::hooks calls);

    std::size_t open_transfers() const { return m_transfers.size(); }

private:
    friend class transfer;
    friend class client_connection;

    /// Counts the transfer hooks that are currently executing.
    class hook_scope {
    public:
        explicit hook_scope(client& owner) : m_owner(owner) { ++m_owner.m_active_hooks; }
        ~hook_scope() { --m_owner.m_active_hooks; }
        hook_scope(const hook_scope&) = delete;
        hook_scope& operator=(const hook_scope&) = delete;

    private:
        client& m_owner;
    };

    event_loop& loop() const { return m_loop; }
    /// Buffer for a single read, shared by all connections.
    std::vector<char>& read_buffer() { return m_read_buffer; }
    bool in_hook() const { return m_active_hooks != 0; }
    void start_transfer(const std::shared_ptr<transfer>& started);
    void set_timer(transfer& waiting, base::time_point when);
    void clear_timer(transfer& waiting);
    void add_idle(std::shared_ptr<client_connection> idle);
    void remove_idle(const client_connection& closed);
    void remove(const std::shared_ptr<transfer>& ended) { m_transfers.erase(ended); }
    std::optional<base::time_point> round(base::time_point now);

    event_loop& m_loop;
    std::unordered_set<std::shared_ptr<transfer>> m_transfers;
    std::multimap<base::time_point, transfer*> m_timers;
    idle_connections m_idle;
    base::time_point m_next_idle_check;
    std::vector<char> m_read_buffer;
    int m_active_hooks = 0;
};

} // namespace damaskladder::http
