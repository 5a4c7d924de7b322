#include "standin/announcer.hpp"

#include <nlohmann/json.hpp>

namespace damaskladder::standin {

namespace {

// A third of the default announcement lease, so that the loss of one renewal does not let the lease
// expire.
constexpr base::duration renew_interval = std::chrono::seconds(1);

} // namespace

announcer::announcer(http::event_loop& loop, http::client& client, const standin_options& options)
    : m_loop(loop), m_client(client), m_options(options)
{
}

void announcer::start(std::uint16_t port, bool cold)
{
    if (!m_options.node) {
        return;
    }
    m_port = port;
    m_cold = cold;
    m_announced = true;
    renew();
}

void announcer::renew()
{
    if (!m_announced) {
        return;
    }
    send("PUT", "/-/announce");
    m_loop.call_at(http::event_loop::now() + renew_interval, [this] { renew(); });
}

void announcer::drain()
{
    if (m_announced) {
        send("PUT", "/-/drain");
    }
}

void announcer::withdraw()
{
    if (m_announced) {
        m_announced = false;
        send("DELETE", "/-/announce");
    }
}

std::string announcer::announcement_json() const
{
    const auto slots = m_options.announced_slots.value_or(m_options.slots);
    const nlohmann::json announcement = {{"service", m_options.service.value()},
                                         {"port", m_port},
                                         {"slots", slots.value()},
                                         {"connections", m_options.connections},
                                         {"cold", m_cold},
                                         {"credential", m_options.credential}};
    return announcement.dump();
}

void announcer::send(const std::string& method, const std::string& path)
{
    auto body = announcement_json();
    http::client_request request;
    request.to = *m_options.node;
    request.head.method = method;
    request.head.target = path;
    request.head.body_size = base::byte_count(static_cast<std::int64_t>(body.size()));
    request.timeout = renew_interval;
    http::transfer::hooks hooks;
    hooks.read_body = [body = std::move(body), sent = std::size_t{0}](char* out,
                                                                      std::size_t size) mutable {
        const auto copied = body.copy(out, size, sent);
        sent += copied;
        return copied;
    };
    m_client.send(std::move(request), std::move(hooks));
}

} // namespace damaskladder::standin
