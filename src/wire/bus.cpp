#include "wire/bus.hpp"

#include "wire/envelope_codec.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <algorithm>

namespace damaskladder::wire {

namespace {

// Enough for a burst of one round of messages to one peer; what does not fit is dropped.
constexpr int send_buffer_messages = 64;
constexpr int receive_buffer_messages = 512;
constexpr nng_duration reconnect_min_ms = 50;
constexpr nng_duration reconnect_max_ms = 1000;
constexpr std::size_t sealing_overhead = 64;

} // namespace

/// Receives with one asynchronous operation that starts again after each message.
class bus::receiver {
public:
    receiver(const receive_handler& handler) : m_handler(handler) {}

    ~receiver()
    {
        nng_aio_stop(m_operation);
        nng_close(m_socket);
        nng_aio_free(m_operation);
    }
    receiver(const receiver&) = delete;
    receiver& operator=(const receiver&) = delete;

    int listen(const std::string& endpoint)
    {
        int failed = nng_pull0_open(&m_socket);
        if (failed == 0) {
            nng_socket_set_int(m_socket, NNG_OPT_RECVBUF, receive_buffer_messages);
            nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ,
                                envelope_codec::max_size + sealing_overhead);
            failed = nng_listen(m_socket, ("tcp://" + endpoint).c_str(), nullptr, 0);
        }
        if (failed == 0) {
            failed = nng_aio_alloc(&m_operation, received, this);
        }
        if (failed == 0) {
            nng_recv_aio(m_socket, m_operation);
        }
        return failed;
    }

private:
    static void received(void* self_pointer)
    {
        auto* self = static_cast<receiver*>(self_pointer);
        const int failed = nng_aio_result(self->m_operation);
        if (failed == NNG_ECANCELED || failed == NNG_ECLOSED) {
            return;
        }
        if (failed == 0) {
            nng_msg* message = nng_aio_get_msg(self->m_operation);
            self->m_handler(
                std::string(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message)));
            nng_msg_free(message);
        }
        nng_recv_aio(self->m_socket, self->m_operation);
    }

    const receive_handler& m_handler;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio* m_operation = nullptr;
};

class bus::sender {
public:
    explicit sender(const std::string& endpoint)
    {
        if (nng_push0_open(&m_socket) != 0) {
            return;
        }
        nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, send_buffer_messages);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
        nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
        nng_dial(m_socket, ("tcp://" + endpoint).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    ~sender() { nng_close(m_socket); }
    sender(const sender&) = delete;
    sender& operator=(const sender&) = delete;

    void send(std::string_view data, std::uint64_t use)
    {
        last_use = use;
        // nng copies the bytes; the pointer is not written through.
        nng_send(m_socket, const_cast<char*>(data.data()), data.size(), NNG_FLAG_NONBLOCK);
    }

    std::uint64_t last_use = 0;

private:
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

bus::bus(receive_handler handler) : m_handler(std::move(handler)) {}

bus::~bus() = default;

base::result<void> bus::listen(const std::string& endpoint)
{
    m_receiver = std::make_unique<receiver>(m_handler);
    const int failed = m_receiver->listen(endpoint);
    if (failed != 0) {
        return base::fail(base::failure_kind::io, "listen for messages", endpoint,
                          nng_strerror(failed));
    }
    return {};
}

void bus::send(const std::string& endpoint, std::string_view data)
{
    auto found = m_senders.find(endpoint);
    if (found == m_senders.end()) {
        if (m_senders.size() >= max_peers) {
            close_oldest();
        }
        found = m_senders.emplace(endpoint, std::make_unique<sender>(endpoint)).first;
    }
    found->second->send(data, ++m_uses);
}

void bus::close_oldest()
{
    const auto oldest =
        std::min_element(m_senders.begin(), m_senders.end(), [](const auto& a, const auto& b) {
            return a.second->last_use < b.second->last_use;
        });
    m_senders.erase(oldest);
}

} // namespace damaskladder::wire
