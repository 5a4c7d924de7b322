#include "wire/envelope_codec.hpp"

#include "wire/message_codec.hpp"

namespace damaskladder::wire {

namespace {

base::result<envelope> refuse(std::string sender, std::string text)
{
    return base::fail(base::failure_kind::permission_denied, "open message", std::move(sender),
                      std::move(text));
}

} // namespace

envelope_codec::envelope_codec(const cluster_secret& secret, base::node_id self,
                               base::incarnation incarnation)
    : m_box(secret.derive(key_usage::messages)), m_self(std::move(self)), m_incarnation(incarnation)
{
}

std::string envelope_codec::seal(const base::node_id& receiver, message_kind kind, std::string body)
{
    m_sent = base::sequence_number(m_sent.value() + 1);
    return m_box.seal(
        encode(envelope{m_self, m_incarnation, m_sent, receiver, kind, std::move(body)}));
}

base::result<envelope> envelope_codec::open(std::string_view sealed)
{
    const auto plain = sealed.size() <= max_size ? m_box.open(sealed) : std::nullopt;
    if (!plain) {
        return refuse({}, "not sealed by a process of this cluster");
    }
    BOOST_LEAF_AUTO(message, decode<envelope>(*plain));
    // A process that only knows an address, not who listens there, leaves the receiver empty.
    const bool for_anyone = message.receiver.value().empty();
    if (message.receiver != m_self && !for_anyone) {
        return refuse(message.sender.value(), "addressed to " + message.receiver.value());
    }
    if (m_received.size() >= max_senders && !m_received.contains(message.sender)) {
        return refuse(message.sender.value(), "too many senders");
    }
    if (!m_received[message.sender].accept(message.sender_incarnation, message.sequence)) {
        return refuse(message.sender.value(), "repeated, or from an earlier run of the sender");
    }
    return message;
}

} // namespace damaskladder::wire
