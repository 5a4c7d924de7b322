#include "wire/envelope_codec.hpp"

#include "wire/message_codec.hpp"

namespace damaskladder::wire {

namespace {

base::result<envelope> rejection(std::string sender, std::string text)
{
    return base::fail(base::failure_kind::permission_denied, "open message", std::move(sender),
                      std::move(text));
}

} // namespace

envelope_codec::envelope_codec(const cluster_secret& secret, base::node_id self,
                               base::incarnation incarnation)
    : m_cipher(secret.derive(key_usage::messages)),
      m_self(std::move(self)),
      m_incarnation(incarnation)
{
}

std::string envelope_codec::seal(const base::node_id& receiver, message_kind kind, std::string body)
{
    m_last_sequence = base::sequence_number(m_last_sequence.value() + 1);
    return m_cipher.seal(
        encode(envelope{m_self, m_incarnation, m_last_sequence, receiver, kind, std::move(body)}));
}

base::result<envelope> envelope_codec::open(std::string_view sealed)
{
    const auto plain = sealed.size() <= max_size ? m_cipher.open(sealed) : std::nullopt;
    if (!plain) {
        return rejection({}, "not sealed by a process of this cluster");
    }
    BOOST_LEAF_AUTO(message, decode<envelope>(*plain));
    // A sender that knows only an address, not which process listens there, leaves the receiver
    // empty.
    const bool any_receiver = message.receiver.value().empty();
    if (message.receiver != m_self && !any_receiver) {
        return rejection(message.sender.value(), "addressed to " + message.receiver.value());
    }
    if (m_replay_windows.size() >= max_senders && !m_replay_windows.contains(message.sender)) {
        return rejection(message.sender.value(), "too many senders");
    }
    if (!m_replay_windows[message.sender].accept(message.sender_incarnation, message.sequence)) {
        return rejection(message.sender.value(), "replayed, or from an earlier run of the sender");
    }
    return message;
}

} // namespace damaskladder::wire
