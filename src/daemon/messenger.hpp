#pragma once

#include "bus/message_bus.hpp"
#include "daemon/message_counters.hpp"
#include "http/event_loop.hpp"
#include "wire/compression.hpp"
#include "wire/envelope_codec.hpp"
#include "wire/message_codec.hpp"

#include <functional>
#include <map>
#include <string>

namespace damaskladder::daemon {

/// Sends and receives sealed messages between processes on the control thread.
class messenger {
public:
    using handler = std::function<void(const base::node_id& sender, const std::string& body)>;

    messenger(http::event_loop& loop, const wire::cluster_secret& secret, base::node_id self,
              base::incarnation incarnation);

    /// Fails with io.
    base::result<void> listen(const std::string& endpoint) { return m_bus.listen(endpoint); }

    /// Sets the handler for messages of a kind.
    void on(wire::message_kind kind, handler receive) { m_handlers[kind] = std::move(receive); }

    /// Sets a handler for decoded messages of a kind. Messages that cannot be decoded are logged
    /// and dropped.
    template <class Message>
    void on_message(wire::message_kind kind,
                    std::function<void(const base::node_id&, const Message&)> receive);

    /// Sends without blocking. Delivery is not guaranteed.
    template <class Message>
    void send(const base::node_id& receiver, const std::string& endpoint, wire::message_kind kind,
              const Message& message)
    {
        send_encoded(receiver, endpoint, kind, wire::encode(message));
    }

    const message_counters& sent() const { return m_sent; }
    std::uint64_t bytes_received() const { return m_bytes_received; }
    std::uint64_t refused() const { return m_refused; }

private:
    void send_encoded(const base::node_id& receiver, const std::string& endpoint,
                      wire::message_kind kind, std::string body);
    void on_sealed_message(const std::string& sealed);
    void record_refused(const base::failure& error);

    wire::envelope_codec m_codec;
    std::map<wire::message_kind, handler> m_handlers;
    message_counters m_sent;
    std::uint64_t m_bytes_received = 0;
    std::uint64_t m_refused = 0;
    base::time_point m_next_warning;
    bus::message_bus m_bus;
};

template <class Message>
void messenger::on_message(wire::message_kind kind,
                           std::function<void(const base::node_id&, const Message&)> receive)
{
    on(kind,
       [this, receive = std::move(receive)](const base::node_id& sender, const std::string& body) {
           base::handle_failure(
               [&]() -> base::result<void> {
                   BOOST_LEAF_AUTO(plain, wire::decompress(body));
                   BOOST_LEAF_AUTO(message, wire::decode<Message>(plain));
                   receive(sender, message);
                   return {};
               },
               [&](const base::failure& error) { record_refused(error); });
       });
}

} // namespace damaskladder::daemon
