#pragma once

#include "base/result.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace damaskladder::wire {

/// Carries byte strings between processes over nng: one PULL listener a process, one PUSH dialer a
/// peer. Delivery is not assured: a message to a peer that is gone or slow is dropped, and the
/// protocols above resend.
class bus {
public:
    /// Called on a thread of nng for each message; must only hand it over.
    using receive_handler = std::function<void(std::string)>;

    explicit bus(receive_handler handler);
    ~bus();
    bus(const bus&) = delete;
    bus& operator=(const bus&) = delete;

    /// Listens on "IP:PORT". Fails with io.
    base::result<void> listen(const std::string& endpoint);

    /// Sends to "IP:PORT" without waiting. From one thread at a time.
    void send(const std::string& endpoint, std::string_view data);

    /// Peers to which a connection is kept; the one unused for longest is closed for a new one.
    static constexpr std::size_t max_peers = 512;

private:
    class receiver;
    class sender;

    void close_oldest();

    receive_handler m_handler;
    std::unique_ptr<receiver> m_receiver;
    std::unordered_map<std::string, std::unique_ptr<sender>> m_senders;
    std::uint64_t m_uses = 0;
};

} // namespace damaskladder::wire
