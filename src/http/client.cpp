#include "http/client.hpp"

#include "http/client_connection.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::http {

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;
/// Limits the file descriptors held by idle connections.
constexpr std::size_t max_idle_connections = 1024;
constexpr base::duration idle_check_interval = std::chrono::seconds(1);

} // namespace

client::client(event_loop& loop) : m_loop(loop), m_read_buffer(read_size)
{
    m_loop.each_round([this](base::time_point now) { return round(now); });
}

client::~client()
{
    for (const auto& open : std::exchange(m_transfers, {})) {
        open->abandon();
    }
    for (const auto& idle : m_idle.take_expired(base::time_point::max())) {
        idle->close();
    }
}

std::optional<base::time_point> client::round(base::time_point now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        transfer* due = m_timers.begin()->second;
        clear_timer(*due);
        due->handle_timeout(now);
    }
    if (m_idle.size() > 0 && now >= m_next_idle_check) {
        m_next_idle_check = now + idle_check_interval;
        for (const auto& expired : m_idle.take_expired(now)) {
            expired->close();
        }
    }
    std::optional<base::time_point> next;
    if (m_idle.size() > 0) {
        next = m_next_idle_check;
    }
    if (!m_timers.empty()) {
        next = std::min(next.value_or(base::time_point::max()), m_timers.begin()->first);
    }
    return next;
}

std::shared_ptr<transfer> client::send(client_request request, transfer::hooks calls)
{
    auto started =
        std::make_shared<transfer>(*this, std::move(request), std::move(calls), event_loop::now());
    m_transfers.insert(started);
    m_loop.post([this, started] { start_transfer(started); });
    return started;
}

void client::start_transfer(const std::shared_ptr<transfer>& started)
{
    if (started->m_ended) {
        return;
    }
    const auto now = event_loop::now();
    const auto& request = started->m_request;
    auto connection = request.fresh_connection ? nullptr : m_idle.take(request.to, now);
    if (connection == nullptr) {
        connection = std::make_shared<client_connection>(*this, request.to);
        if (!connection->connect(request.unacknowledged_timeout)) {
            started->end(
                {transfer_result::kind::not_sent, "cannot open a connection to the server"});
            return;
        }
        set_timer(*started, std::min(started->m_connect_deadline, started->m_deadline));
    }
    started->m_connection = connection;
    connection->assign_transfer(started);
}

void client::set_timer(transfer& waiting, base::time_point when)
{
    clear_timer(waiting);
    waiting.m_timer = m_timers.emplace(when, &waiting);
}

void client::clear_timer(transfer& waiting)
{
    if (waiting.m_timer) {
        m_timers.erase(*waiting.m_timer);
        waiting.m_timer.reset();
    }
}

void client::add_idle(std::shared_ptr<client_connection> idle)
{
    if (m_idle.size() >= max_idle_connections) {
        idle->close();
        return;
    }
    if (m_idle.size() == 0) {
        m_next_idle_check = m_loop.woken_at() + idle_check_interval;
    }
    m_idle.put(std::move(idle));
}

void client::remove_idle(const client_connection& closed)
{
    m_idle.remove(closed);
}

} // namespace damaskladder::http
