#include "damaskladder/bus.hpp"
#include "http/endless_sender.hpp"
#include "http/loopback_connection.hpp"
#include "http/reading_meter.hpp"
#include "http/run_until.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace damaskladder::bus {
namespace {

using std::chrono::milliseconds;

std::string endpoint_of(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

class message_sizes : public testing::TestWithParam<std::vector<std::size_t>> {};

// Guards against messages that are truncated, merged or reordered at read and write boundaries.
TEST_P(message_sizes, arrive_whole_and_in_order)
{
    http::event_loop loop;
    std::vector<std::string> got;
    message_bus receiver(loop, {}, [&](std::string message) { got.push_back(std::move(message)); });
    message_bus sender(loop, {}, [](const std::string&) {});
    ASSERT_TRUE(receiver.listen("127.0.0.1:0"));
    std::vector<std::string> sent;
    for (const auto size : GetParam()) {
        sent.emplace_back(size, static_cast<char>('a' + sent.size()));
        sender.send(endpoint_of(receiver.port()), sent.back());
    }
    EXPECT_TRUE(http::run_until(loop, [&] { return got.size() >= sent.size(); }));
    EXPECT_EQ(got, sent);
}

INSTANTIATE_TEST_SUITE_P(table, message_sizes,
                         testing::Values(std::vector<std::size_t>{1},
                                         std::vector<std::size_t>{0, 5, 0},
                                         std::vector<std::size_t>{65532, 1, 65536, 70000},
                                         std::vector<std::size_t>{1000000, 3, 1000000}));

// Guards against a peer that is not reached again after it restarts.
TEST(message_bus, reaches_a_peer_that_has_restarted)
{
    http::event_loop loop;
    int got = 0;
    const auto count = [&](const std::string&) { ++got; };
    auto receiver = std::make_unique<message_bus>(loop, bus_limits{}, count);
    message_bus sender(loop, {}, [](const std::string&) {});
    ASSERT_TRUE(receiver->listen("127.0.0.1:0"));
    const auto endpoint = endpoint_of(receiver->port());
    sender.send(endpoint, "before");
    EXPECT_TRUE(http::run_until(loop, [&] { return got == 1; }));
    receiver = std::make_unique<message_bus>(loop, bus_limits{}, count);
    ASSERT_TRUE(receiver->listen(endpoint));
    EXPECT_TRUE(http::run_until(loop, [&] {
        sender.send(endpoint, "after");
        return got > 1;
    }));
}

// Guards against messages that are lost after failed attempts to connect and counted nowhere.
TEST(message_bus, reports_messages_that_it_drops_before_it_connects_again)
{
    http::event_loop loop;
    message_bus sender(loop, {}, [](const std::string&) {});
    std::string gone;
    {
        message_bus receiver(loop, {}, [](const std::string&) {});
        ASSERT_TRUE(receiver.listen("127.0.0.1:0"));
        gone = endpoint_of(receiver.port());
    }
    EXPECT_TRUE(sender.send(gone, "starts the attempt"));
    EXPECT_TRUE(http::run_until(loop, [&] { return !sender.send(gone, "dropped"); }));
    EXPECT_FALSE(sender.send("no endpoint", "dropped"));
}

/// A listener whose accept queue is full, so that it does not respond, like a VM behind a network
/// partition.
class unresponsive_fake {
public:
    unresponsive_fake() : m_listener(http::listener::open({"127.0.0.1", 0}).value())
    {
        ::listen(m_listener.descriptor(), 0);
        for (int i = 0; i < 4; ++i) {
            m_queued.push_back(http::stream_socket::connect({"127.0.0.1", port()}));
        }
    }

    std::uint16_t port() const { return m_listener.port(); }

    /// Accepts all pending connections and returns whether bytes have arrived on one.
    bool receives()
    {
        while (auto pending = m_listener.accept()) {
            m_accepted.push_back(std::move(*pending));
        }
        char byte = 0;
        for (auto& connection : m_accepted) {
            if (connection.read(&byte, 1).what ==
                http::stream_socket::io_result::status::transferred) {
                return true;
            }
        }
        return false;
    }

private:
    http::listener m_listener;
    std::vector<std::optional<http::stream_socket>> m_queued;
    std::vector<http::stream_socket> m_accepted;
};

// Guards against a connection attempt that hangs after a network partition has ended. TCP itself
// retries only after seconds, and after a partition of 10 s settings reached a node later than the
// rule on changes in force allows.
TEST(message_bus, reaches_a_peer_soon_after_a_partition)
{
    http::event_loop loop;
    unresponsive_fake peer;
    message_bus sender(loop, {}, [](const std::string&) {});
    const auto endpoint = endpoint_of(peer.port());
    const auto start = http::event_loop::now();
    EXPECT_TRUE(http::run_until(loop, [&] {
        sender.send(endpoint, "during");
        return http::event_loop::now() > start + milliseconds(700);
    }));
    const auto healed = http::event_loop::now();
    EXPECT_TRUE(http::run_until(loop, [&] {
        sender.send(endpoint, "after");
        return peer.receives();
    }));
    EXPECT_LT(http::event_loop::now() - healed, milliseconds(1500));
}

// Guards against answers that are dropped for a second after a network partition has ended, because
// the connection attempt before them failed: protocols repeat a message every 500 ms.
TEST(bus_limits, a_repeated_message_starts_a_connection_attempt)
{
    const bus_limits limits;
    EXPECT_LE(limits.connect_timeout + limits.max_reconnect_delay, milliseconds(500));
}

// Guards against an established connection whose peer becomes unreachable: without these socket
// options the loss is detected only after minutes.
TEST(stream_socket, detects_an_unresponsive_peer_within_seconds)
{
    const auto listening = http::listener::open({"127.0.0.1", 0}).value();
    const auto made = http::stream_socket::connect({"127.0.0.1", listening.port()});
    ASSERT_TRUE(made);
    made->set_unacknowledged_timeout(bus_limits{}.unacknowledged_timeout);
    const auto option = [&](int level, int name) {
        int value = 0;
        socklen_t size = sizeof value;
        getsockopt(made->descriptor(), level, name, &value, &size);
        return value;
    };
    EXPECT_EQ(option(IPPROTO_TCP, TCP_USER_TIMEOUT), 1000);
    EXPECT_EQ(option(SOL_SOCKET, SO_KEEPALIVE), 1);
    const int silence = option(IPPROTO_TCP, TCP_KEEPIDLE) +
                        option(IPPROTO_TCP, TCP_KEEPINTVL) * option(IPPROTO_TCP, TCP_KEEPCNT);
    EXPECT_LE(silence, 3);
}

// Guards against a peer that sends messages as fast as they are read and so holds the control
// thread: timers do not run and other peers are not heard.
TEST(message_bus, leaves_time_for_timers_while_a_peer_sends_without_end)
{
    http::event_loop loop;
    http::reading_meter read(loop);
    message_bus receiver(loop, {}, [&](const std::string& message) { read.add(message.size()); });
    ASSERT_TRUE(receiver.listen("127.0.0.1:0"));
    const auto peer = http::connect_to_loopback(receiver.port());
    http::endless_sender sender;
    std::string frame;
    append_frame(frame, std::string(1000, 'a'));
    std::thread sending([&] { sender.send(peer.get(), {}, frame); });
    bool due = false;
    loop.call_at(http::event_loop::now() + milliseconds(20), [&] { due = true; });
    EXPECT_TRUE(http::run_until(loop, [&] { return due; }));
    EXPECT_LT(sender.bytes_sent(), http::endless_sender::limit);
    EXPECT_LE(read.most_in_round(), http::reading_meter::max_in_round);
    shutdown(peer.get(), SHUT_RDWR);
    sending.join();
}

// Guards against memory that grows with the number of peers, each of which sends a part of a large
// message only.
TEST(message_bus, bounds_the_incomplete_messages_of_all_peers)
{
    bus_limits limits;
    limits.message_size = base::byte_count(1 << 20);
    limits.incomplete_size = base::byte_count(3 << 20);
    http::event_loop loop;
    std::size_t messages = 0;
    message_bus receiver(loop, limits, [&](const std::string&) { ++messages; });
    ASSERT_TRUE(receiver.listen("127.0.0.1:0"));
    std::string frame;
    append_frame(frame, std::string(1 << 20, 'a'));
    const std::string part = frame.substr(0, frame.size() - 1);
    constexpr std::size_t count = 8;
    std::vector<base::file_descriptor> peers;
    peers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        peers.push_back(http::connect_to_loopback(receiver.port()));
    }
    std::thread sending([&] {
        for (const auto& each : peers) {
            [[maybe_unused]] const auto sent =
                send(each.get(), part.data(), part.size(), MSG_NOSIGNAL);
        }
    });
    const auto closed = [&] {
        return std::count_if(peers.begin(), peers.end(), [](const auto& each) {
            char byte = 0;
            return recv(each.get(), &byte, 1, MSG_DONTWAIT | MSG_PEEK) >= 0 || errno != EAGAIN;
        });
    };
    EXPECT_TRUE(http::run_until(loop, [&] { return closed() >= 5; }));
    sending.join();
    // Those that were not closed can complete their message.
    EXPECT_TRUE(http::run_until(loop, [&] {
        for (const auto& each : peers) {
            send(each.get(), "a", 1, MSG_NOSIGNAL | MSG_DONTWAIT);
        }
        return messages > 0;
    }));
}

// Guards against connections that are closed after a peer has gone: its part of the total was given
// back although it had not been counted, and the total fell below zero.
TEST(message_bus, keeps_connections_when_another_peer_has_gone)
{
    http::event_loop loop;
    int got = 0;
    message_bus receiver(loop, {}, [&](const std::string&) { ++got; });
    ASSERT_TRUE(receiver.listen("127.0.0.1:0"));
    std::string frame;
    append_frame(frame, "message");
    const auto staying = http::connect_to_loopback(receiver.port());
    const auto send_and_wait = [&](int connection) {
        const int before = got;
        send(connection, frame.data(), frame.size(), MSG_NOSIGNAL);
        return http::run_until(loop, [&] { return got > before; });
    };
    EXPECT_TRUE(send_and_wait(staying.get()));
    for (int i = 0; i < 3; ++i) {
        const auto leaving = http::connect_to_loopback(receiver.port());
        EXPECT_TRUE(send_and_wait(leaving.get()));
    }
    // The end of the last one is read before or with the next message.
    EXPECT_TRUE(send_and_wait(staying.get()));
    EXPECT_TRUE(send_and_wait(staying.get()));
    char byte = 0;
    EXPECT_EQ(recv(staying.get(), &byte, 1, MSG_DONTWAIT), -1);
    EXPECT_EQ(errno, EAGAIN);
}

// Guards against connections that are closed because buffers of messages that were passed on long
// ago count as incomplete messages.
TEST(frame_decoder, holds_no_memory_for_complete_messages)
{
    frame_decoder decoder(base::byte_count(1 << 20));
    std::string frame;
    append_frame(frame, std::string(1 << 19, 'a'));
    ASSERT_TRUE(decoder.add(frame));
    EXPECT_GE(decoder.held_size(), frame.size());
    EXPECT_TRUE(decoder.next());
    EXPECT_FALSE(decoder.next());
    EXPECT_LT(decoder.held_size(), 100U);
}

struct frame_case {
    std::string name;
    std::string bytes;
    bool accepted;
    std::size_t messages;
};

class frames : public testing::TestWithParam<frame_case> {};

// Guards against unbounded memory use when a peer announces a huge message.
TEST_P(frames, are_bounded)
{
    frame_decoder decoder(base::byte_count(10));
    EXPECT_EQ(decoder.add(GetParam().bytes), GetParam().accepted);
    std::size_t messages = 0;
    while (GetParam().accepted && decoder.next()) {
        ++messages;
    }
    EXPECT_EQ(messages, GetParam().messages);
}

INSTANTIATE_TEST_SUITE_P(
    table, frames,
    testing::Values(frame_case{"none", "", true, 0},
                    frame_case{"part", {"\x02\0\0\0a", 5}, true, 0},
                    frame_case{"one_and_part", {"\x01\0\0\0a\x01", 6}, true, 1},
                    frame_case{"longest", std::string("\x0a\0\0\0", 4) + "0123456789", true, 1},
                    frame_case{"too_long", std::string("\x0b\0\0\0", 4), false, 0},
                    frame_case{"huge", std::string("\xff\xff\xff\xff", 4), false, 0}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::bus
