#include "daemon/messenger.hpp"
#include "membership/message.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::daemon {
namespace {

constexpr auto secret_text = "6d0f1a4c8be2973f5d21c07e9ab43816f2c75e0d94b8a3617c5de0f948b21a73";

struct size_case {
    const char* name;
    int records;
    /// Largest number of bytes sent for each record.
    std::size_t bytes_per_record;
};

membership::member_update update_of(int records)
{
    membership::member_update update;
    for (int i = 0; i < records; ++i) {
        membership::member_record record;
        const auto ip = "10.1.0." + std::to_string(i);
        record.node = base::node_id(ip);
        record.domain = base::failure_domain_id("fleet");
        record.incarnation = base::incarnation(1'700'000'000'000'000 + static_cast<unsigned>(i));
        record.messages = base::message_address(ip + ":7000");
        record.traffic = base::traffic_address(ip + ":8543");
        record.vm_domain = base::failure_domain_id("occ-a");
        update.records.push_back(std::move(record));
    }
    return update;
}

class member_updates : public testing::TestWithParam<size_case> {};

// Guards against a start of a fleet in which the lists of members make up most of the bytes between
// failure domains.
TEST_P(member_updates, arrive_whole_and_small)
{
    const auto secret =
        base::handle_failure([] { return wire::cluster_secret::parse(secret_text); },
                             [](const base::failure&) -> wire::cluster_secret { std::abort(); });
    http::event_loop loop;
    messenger sender(loop, secret, base::node_id("a"), base::incarnation(1));
    messenger receiver(loop, secret, base::node_id("b"), base::incarnation(1));
    const std::string address = "127.0.77.1:" + std::to_string(GetParam().records + 24'100);
    ASSERT_TRUE(receiver.listen(address));
    const membership::message sent = update_of(GetParam().records);
    membership::message received;
    receiver.on_message<membership::message>(wire::message_kind::membership,
                                             [&](const auto&, const auto& body) {
                                                 received = body;
                                                 loop.stop();
                                             });
    sender.send(base::node_id("b"), address, wire::message_kind::membership, sent);
    loop.call_at(http::event_loop::now() + std::chrono::seconds(10), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(received, sent);
    const auto text = sender.sent().summary();
    const auto bytes = std::stoul(text.substr(text.find('/') + 1));
    EXPECT_LT(bytes, GetParam().bytes_per_record * static_cast<std::size_t>(GetParam().records))
        << text;
}

INSTANTIATE_TEST_SUITE_P(table, member_updates,
                         testing::Values(size_case{"one", 1, 400}, size_case{"many", 64, 60}),
                         [](const auto& test) { return std::string(test.param.name); });

} // namespace
} // namespace damaskladder::daemon
