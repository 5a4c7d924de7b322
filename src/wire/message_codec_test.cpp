#include "consensus/envelope.hpp"
#include "membership/message.hpp"
#include "wire/context_codec.hpp"
#include "wire/context_encoding.hpp"
#include "wire/envelope_codec.hpp"
#include "wire/message_codec.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace damaskladder::wire {
namespace {

cluster_secret make_secret(char digit)
{
    return cluster_secret::parse(std::string(64, digit)).value();
}

consensus::envelope sample_append()
{
    consensus::append_request request;
    request.term = consensus::term_number(7);
    request.entries.push_back({consensus::log_index(3), consensus::term_number(7),
                               consensus::command{std::string("\0\xff bytes", 8)}});
    request.entries.push_back({consensus::log_index(4), consensus::term_number(7),
                               consensus::configuration{consensus::config_id(2), {}}});
    return {{consensus::replica_id("c1"), consensus::identity_nonce(~0ULL)},
            {consensus::replica_id("c2"), consensus::unknown_nonce},
            request};
}

// Guards against fields that are lost or swapped by encoding and decoding.
TEST(message_codec, round_trip)
{
    const auto sent = sample_append();
    EXPECT_EQ(decode<consensus::envelope>(encode(sent)).value(), sent);
}

template <class Message>
bool rejects(std::string_view bytes)
{
    return base::handle_failure(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decode<Message>(bytes));
            return false;
        },
        [](const base::failure& error) { return error.kind == base::failure_kind::corrupt; });
}

struct malformed_case {
    std::string name;
    std::string bytes;
};

class malformed_messages : public testing::TestWithParam<malformed_case> {};

TEST_P(malformed_messages, are_rejected)
{
    EXPECT_TRUE(rejects<consensus::envelope>(GetParam().bytes));
    EXPECT_TRUE(rejects<membership::message>(GetParam().bytes));
}

INSTANTIATE_TEST_SUITE_P(
    table, malformed_messages,
    testing::Values(malformed_case{"empty", ""}, malformed_case{"number", "\x01"},
                    malformed_case{"empty_array", "\x80"},
                    malformed_case{"truncated", encode(sample_append()).substr(0, 20)},
                    malformed_case{"trailing", encode(sample_append()) + "x"},
                    malformed_case{"huge_array", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff"},
                    malformed_case{"unknown_alternative", "\x82\x18\x63\x80"},
                    malformed_case{"deep", std::string(5000, '\x81')},
                    malformed_case{"very_deep", std::string(1'000'000, '\x81')}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a crash on malformed input. The input is a valid message with a few bytes changed,
// so that many variants pass the first checks.
TEST(message_codec, altered_bytes_do_not_crash)
{
    constexpr int attempts = 20000;
    std::mt19937 random(1);
    const auto whole = encode(sample_append());
    int accepted = 0;
    for (int i = 0; i < attempts; ++i) {
        auto bytes = whole;
        for (int change = 0; change < 1 + i % 3; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        accepted += rejects<consensus::envelope>(bytes) ? 0 : 1;
    }
    EXPECT_LT(accepted, attempts);
}

sealed_context sample_context()
{
    sealed_context context;
    context.receiver = base::node_id("n2");
    context.call.workspace = base::workspace_id("w3");
    context.call.settings = base::settings_version(12);
    context.call.request = base::request_id("1796380000-a");
    context.call.budget = std::chrono::milliseconds(250);
    context.call.idempotent = false;
    context.call.allowance = base::retry_count(2);
    context.call.issuer = base::node_id("n1");
    return context;
}

TEST(context_codec, round_trip)
{
    const context_codec codec(make_secret('a'));
    const auto opened = codec.open(codec.seal(sample_context())).value();
    EXPECT_EQ(opened.receiver, base::node_id("n2"));
    EXPECT_EQ(opened.call.workspace, base::workspace_id("w3"));
    EXPECT_EQ(opened.call.settings, base::settings_version(12));
    EXPECT_EQ(opened.call.budget, base::duration(std::chrono::milliseconds(250)));
    EXPECT_FALSE(opened.call.idempotent);
    EXPECT_EQ(opened.call.allowance, base::retry_count(2));
    EXPECT_EQ(encode_context(opened), encode_context(sample_context()));
}

// Guards against nonce reuse, which reveals the XOR of the two plaintexts.
TEST(aead_cipher, nonces_differ_between_messages_ciphers_and_threads)
{
    constexpr std::size_t nonce_size = 24;
    constexpr int messages = 1000;
    std::set<std::string> nonces;
    std::mutex guard;
    const auto seal_many = [&] {
        const aead_cipher cipher{secret_key{}};
        const aead_cipher copy = cipher;
        for (int i = 0; i < messages; ++i) {
            const std::lock_guard lock(guard);
            nonces.insert(cipher.seal("text").substr(0, nonce_size));
            nonces.insert(copy.seal("text").substr(0, nonce_size));
        }
    };
    std::thread other(seal_many);
    seal_many();
    other.join();
    EXPECT_EQ(nonces.size(), std::size_t{4} * messages);
}

// Guards against misreading a truncated or extended context, even if authentication passed.
TEST(context_encoding, truncated_bytes_are_rejected)
{
    const auto whole = encode_context(sample_context());
    const auto accepts = [](std::string_view bytes) {
        return base::handle_failure(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(decode_context(bytes));
                return true;
            },
            [](const base::failure&) { return false; });
    };
    EXPECT_TRUE(accepts(whole));
    EXPECT_FALSE(accepts(whole + "x"));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_FALSE(accepts(std::string_view(whole).substr(0, size))) << size;
    }
}

struct forged_case {
    std::string name;
    std::function<std::string(const std::string& sealed)> alter;
};

class forged_contexts : public testing::TestWithParam<forged_case> {};

// Guards against a context that a backend server or caller forged or modified.
TEST_P(forged_contexts, are_rejected)
{
    const context_codec codec(make_secret('a'));
    const auto forged = GetParam().alter(codec.seal(sample_context()));
    const auto kind = base::handle_failure(
        [&]() -> base::result<base::failure_kind> {
            BOOST_LEAF_CHECK(codec.open(forged));
            return base::failure_kind::internal;
        },
        [](const base::failure& error) { return error.kind; });
    EXPECT_EQ(kind, base::failure_kind::permission_denied);
}

INSTANTIATE_TEST_SUITE_P(
    table, forged_contexts,
    testing::Values(forged_case{"empty", [](const auto&) { return std::string(); }},
                    forged_case{"not_base64", [](const auto& sealed) { return "?" + sealed; }},
                    forged_case{"cut", [](const auto& sealed) { return sealed.substr(0, 60); }},
                    forged_case{"one_bit",
                                [](auto sealed) {
                                    sealed[50] = sealed[50] == 'A' ? 'B' : 'A';
                                    return sealed;
                                }},
                    forged_case{"other_cluster",
                                [](const auto&) {
                                    return context_codec(make_secret('b')).seal(sample_context());
                                }},
                    forged_case{"too_long", [](const auto&) { return std::string(5000, 'A'); }}),
    [](const auto& tested) { return tested.param.name; });

struct delivery_case {
    std::string name;
    char sender_secret;
    std::string receiver;
    std::uint64_t earlier_incarnation;
    bool twice;
    bool accepted;
};

class deliveries : public testing::TestWithParam<delivery_case> {};

// Guards against messages that are forged, misdirected, replayed or from an earlier run of the
// sender.
TEST_P(deliveries, only_new_messages_for_this_process_are_accepted)
{
    const auto& expected = GetParam();
    envelope_codec receiver(make_secret('a'), base::node_id("n2"), base::incarnation(1));
    const auto accept = [&](std::string_view sealed) {
        return base::handle_failure(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(receiver.open(sealed));
                return true;
            },
            [](const base::failure&) { return false; });
    };
    envelope_codec current(make_secret('a'), base::node_id("n1"), base::incarnation(5));
    EXPECT_TRUE(accept(current.seal(base::node_id("n2"), message_kind::lease, "first")));
    envelope_codec sender(make_secret(expected.sender_secret), base::node_id("n1"),
                          base::incarnation(expected.earlier_incarnation));
    const auto sealed =
        sender.seal(base::node_id(expected.receiver), message_kind::lease, "second");
    const bool first = accept(sealed);
    EXPECT_EQ(expected.twice ? accept(sealed) : first, expected.accepted);
}

INSTANTIATE_TEST_SUITE_P(table, deliveries,
                         testing::Values(delivery_case{"new_run", 'a', "n2", 6, false, true},
                                         delivery_case{"anyone", 'a', "", 6, false, true},
                                         delivery_case{"other_cluster", 'b', "n2", 6, false, false},
                                         delivery_case{"other_receiver", 'a', "n3", 6, false,
                                                       false},
                                         delivery_case{"earlier_run", 'a', "n2", 4, false, false},
                                         delivery_case{"same_number", 'a', "n2", 5, false, false},
                                         delivery_case{"repeated", 'a', "n2", 6, true, false}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against separate sequence numbers for messages to a named receiver and messages without a
// receiver: the receiver would reject later ones as replays.
TEST(envelope_codec, named_and_unnamed_receivers_share_one_sequence)
{
    envelope_codec sender(make_secret('a'), base::node_id("n1"), base::incarnation(1));
    envelope_codec receiver(make_secret('a'), base::node_id("n2"), base::incarnation(1));
    for (const auto* to : {"", "n2", "n3", "", "n2"}) {
        const auto sealed = sender.seal(base::node_id(to), message_kind::membership, "m");
        if (std::string(to) != "n3") {
            const bool opened = base::handle_failure(
                [&]() -> base::result<bool> {
                    BOOST_LEAF_CHECK(receiver.open(sealed));
                    return true;
                },
                [](const base::failure&) { return false; });
            EXPECT_TRUE(opened);
        }
    }
}

// Guards against a window that rejects messages arriving out of order or accepts one twice.
TEST(replay_window, accepts_each_number_once_in_any_order)
{
    constexpr int rounds = 200;
    std::mt19937 random(7);
    for (int round = 0; round < rounds; ++round) {
        replay_window window;
        std::vector<std::uint64_t> numbers;
        for (std::uint64_t i = 1; i <= 200; ++i) {
            numbers.push_back(i);
        }
        std::shuffle(numbers.begin(), numbers.end(), random);
        for (const auto number : numbers) {
            EXPECT_TRUE(window.accept(base::incarnation(1), base::sequence_number(number)));
            EXPECT_FALSE(window.accept(base::incarnation(1), base::sequence_number(number)));
        }
    }
}

} // namespace
} // namespace damaskladder::wire
