#pragma once

#include "http/client.hpp"
#include "standin/standin_options.hpp"

#include <string>

namespace damaskladder::standin {

/// Announces a backend server to the node on its VM and renews the announcement.
class announcer {
public:
    announcer(http::event_loop& loop, http::client& client, const standin_options& options);

    /// Announces immediately and renews until withdraw().
    void start(std::uint16_t port, bool cold);
    void set_cold(bool cold) { m_cold = cold; }

    /// Tells the node to send no new requests.
    void drain();
    /// Withdraws the announcement.
    void withdraw();

private:
    void renew();
    std::string announcement_json() const;
    void send(const std::string& method, const std::string& path);

    http::event_loop& m_loop;
    http::client& m_client;
    const standin_options& m_options;
    std::uint16_t m_port = 0;
    bool m_cold = false;
    bool m_announced = false;
};

} // namespace damaskladder::standin
