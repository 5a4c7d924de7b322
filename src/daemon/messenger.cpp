#include "daemon/messenger.hpp"

#include "daemon/log.hpp"
#include "wire/compression.hpp"

namespace damaskladder::daemon {

namespace {

// Limits log output, which a peer with a different secret could otherwise flood.
constexpr base::duration warning_interval = std::chrono::seconds(1);

// Size that sealing adds to a body of maximum length.
constexpr std::size_t sealing_overhead = 64;

/// Whether messages of this kind are compressed. Membership messages hold many similar records when
/// a fleet starts. Settings are compressed where they are made, once for all receivers.
bool is_compressed(wire::message_kind kind)
{
    return kind == wire::message_kind::membership;
}

bus::bus_limits make_limits()
{
    bus::bus_limits limits;
    limits.message_size = base::byte_count(
        static_cast<std::int64_t>(wire::envelope_codec::max_size + sealing_overhead));
    return limits;
}

} // namespace

messenger::messenger(http::event_loop& loop, const wire::cluster_secret& secret, base::node_id self,
                     base::incarnation incarnation)
    : m_codec(secret, std::move(self), incarnation),
      m_bus(loop, make_limits(), [this](const std::string& sealed) { on_sealed_message(sealed); })
{
}

void messenger::send_encoded(const base::node_id& receiver, const std::string& endpoint,
                             wire::message_kind kind, std::string body)
{
    if (is_compressed(kind)) {
        body = wire::compress(std::move(body));
    }
    const auto sealed = m_codec.seal(receiver, kind, std::move(body));
    m_sent.count(kind, sealed.size());
    if (!m_bus.send(endpoint, sealed)) {
        m_sent.count_dropped(kind);
    }
}

void messenger::on_sealed_message(const std::string& sealed)
{
    m_bytes_received += sealed.size();
    base::handle_failure(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(message, m_codec.open(sealed));
            const auto found = m_handlers.find(message.kind);
            if (found != m_handlers.end()) {
                found->second(message.sender, message.body);
            }
            return {};
        },
        [&](const base::failure& error) { record_refused(error); });
}

void messenger::record_refused(const base::failure& error)
{
    ++m_refused;
    const auto now = http::event_loop::now();
    if (now >= m_next_warning) {
        m_next_warning = now + warning_interval;
        log_failure(log_level::warn, "message_refused", error);
    }
}

} // namespace damaskladder::daemon
