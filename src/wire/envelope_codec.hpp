#pragma once

#include "base/result.hpp"
#include "wire/aead_cipher.hpp"
#include "wire/envelope.hpp"
#include "wire/replay_window.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace damaskladder::wire {

/// Seals messages to other processes of the cluster and opens messages from them.
class envelope_codec {
public:
    envelope_codec(const cluster_secret& secret, base::node_id self, base::incarnation incarnation);

    /// Seals a message with the next sequence number.
    std::string seal(const base::node_id& receiver, message_kind kind, std::string body);

    /// Fails with permission_denied if the message is not from this cluster, not addressed to this
    /// process or a replay, and with corrupt if it cannot be decoded.
    base::result<envelope> open(std::string_view sealed);

    /// Maximum size of a sealed message, in bytes.
    static constexpr std::size_t max_size = std::size_t{1024} * 1024;
    /// Maximum number of senders tracked for replay protection; further senders are rejected until
    /// the process restarts.
    static constexpr std::size_t max_senders = 16384;

private:
    aead_cipher m_cipher;
    base::node_id m_self;
    base::incarnation m_incarnation;
    /// One sequence for all receivers, because a message to the same process may name the receiver
    /// or leave it empty.
    base::sequence_number m_last_sequence;
    std::unordered_map<base::node_id, replay_window> m_replay_windows;
};

} // namespace damaskladder::wire
