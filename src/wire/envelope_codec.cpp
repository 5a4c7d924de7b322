#include "wire/envelope_codec.hpp"

#include <nlohmann/json.hpp>

namespace damaskladder::wire {

namespace {

using nlohmann::json;

constexpr std::size_t field_count = 6;

envelope decode(const std::string& plain)
{
    const auto fields = json::from_cbor(plain);
    if (!fields.is_array() || fields.size() != field_count) {
        throw std::out_of_range("field count");
    }
    envelope message;
    message.sender = base::node_id(fields.at(0).get<std::string>());
    message.sender_incarnation = base::incarnation(fields.at(1).get<std::uint64_t>());
    message.sequence = base::sequence_number(fields.at(2).get<std::uint64_t>());
    message.receiver = base::node_id(fields.at(3).get<std::string>());
    message.kind = static_cast<message_kind>(fields.at(4).get<int>());
    const auto& body = fields.at(5).get_binary();
    message.body.assign(body.begin(), body.end());
    return message;
}

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
    auto& sequence = m_sent[receiver];
    sequence = base::sequence_number(sequence.value() + 1);
    json::binary_t bytes(std::vector<std::uint8_t>(body.begin(), body.end()));
    const auto fields = json::array({m_self.value(), m_incarnation.value(), sequence.value(),
                                     receiver.value(), static_cast<int>(kind), std::move(bytes)});
    const auto plain = json::to_cbor(fields);
    return m_box.seal(std::string_view(reinterpret_cast<const char*>(plain.data()), plain.size()));
}

base::result<envelope> envelope_codec::open(std::string_view sealed)
{
    const auto plain = sealed.size() <= max_size ? m_box.open(sealed) : std::nullopt;
    if (!plain) {
        return refuse({}, "not sealed by a process of this cluster");
    }
    envelope message;
    try {
        message = decode(*plain);
    }
    catch (const std::exception&) {
        return base::fail(base::failure_kind::corrupt, "open message", {},
                          "sealed by another version of the program");
    }
    if (message.receiver != m_self) {
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
