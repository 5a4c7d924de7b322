#include "control/command_codec.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace damaskladder::control {
namespace {

using bytes_type = std::vector<std::uint8_t>;
using json = nlohmann::json;

std::optional<command> try_decode(const bytes_type& bytes)
{
    return base::handle_failure(
        [&]() -> base::result<std::optional<command>> {
            BOOST_LEAF_AUTO(entry, decode_command(bytes));
            return std::optional<command>(std::move(entry));
        },
        [](const base::failure& error) -> std::optional<command> {
            EXPECT_FALSE(error.text.empty());
            return std::nullopt;
        });
}

std::optional<reply> try_decode_reply(const bytes_type& bytes)
{
    return base::handle_failure(
        [&]() -> base::result<std::optional<reply>> {
            BOOST_LEAF_AUTO(answer, decode_reply(bytes));
            return std::optional<reply>(std::move(answer));
        },
        [](const base::failure& /*error*/) -> std::optional<reply> { return std::nullopt; });
}

command_header header()
{
    return {base::change_id("c1"), base::operator_id("luz"),
            base::wall_time(std::chrono::seconds(1'700'000'000))};
}

settings::setting_path path()
{
    return *settings::setting_path::parse("teams/a/policy");
}

settings::setting_diff diff()
{
    return {{{settings::change_kind::changed, path(), settings::field_name("revision"),
              settings::field_value("1"), settings::field_value("2")}}};
}

settings::setting_tree tree()
{
    settings::setting_tree entries;
    entries.set(path(), settings::field_name("revision"), settings::field_value("2"));
    entries.set(*settings::setting_path::parse("teams/a/limits"), settings::field_name("max_queue"),
                settings::field_value("7"));
    return entries;
}

std::vector<command> all_commands()
{
    claim_key key{base::workspace_id("w"), base::request_id("1700000000-x")};
    credential created{base::operator_id("vet"), credential_role::reviewer, path(),
                       token_hash(digest_of("t"))};
    return {advance_time{},
            change_settings{header(), path(), base::settings_version(7), diff()},
            change_settings{header(), path(), base::settings_version(7), tree()},
            propose_settings{header(), path(), base::settings_version(7), tree(),
                             std::chrono::hours(1)},
            approve_proposal{header(), proposal_id(3)},
            refuse_proposal{header(), proposal_id(3), "no \xC3\xA9"},
            withdraw_key{header(), base::key_id("k1")},
            create_credential{header(), created},
            remove_credential{header(), base::operator_id("vet")},
            claim_request{key, base::attempt_id(UINT64_MAX), base::node_id("n"),
                          content_hash(digest_of("c"))},
            release_claim{key, base::attempt_id(9)},
            complete_claim{key, base::attempt_id(9)},
            set_evacuation{header(),
                           base::failure_domain_id("fd1"),
                           true,
                           {base::failure_domain_id("fd1"), base::failure_domain_id("fd2")}}};
}

class command_round_trip : public testing::TestWithParam<command> {};

// Encoding must preserve all fields; truncated and extended entries must be rejected.
TEST_P(command_round_trip, decodes_to_the_same_and_refuses_other_lengths)
{
    auto bytes = encode(GetParam());
    EXPECT_EQ(try_decode(bytes), GetParam());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        EXPECT_EQ(try_decode(bytes_type(bytes.begin(), bytes.begin() + static_cast<long>(length))),
                  std::nullopt);
    }
    bytes.push_back(0);
    EXPECT_EQ(try_decode(bytes), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(table, command_round_trip, testing::ValuesIn(all_commands()));

struct malformed_case {
    const char* name;
    std::function<bytes_type()> bytes;
};

/// The first change_settings command, altered as JSON.
bytes_type encode_altered(const std::function<void(json&)>& alter)
{
    auto source = json::from_cbor(encode(all_commands()[1]));
    alter(source);
    return json::to_cbor(source);
}

// Checks the encoding that the malformed cases alter, so that each is rejected for the intended
// reason.
TEST(command_codec, reads_the_form_that_the_cases_alter)
{
    EXPECT_EQ(try_decode(encode_altered([](json& /*unchanged*/) {})), all_commands()[1]);
    EXPECT_EQ(json::from_cbor(encode(all_commands()[1])), json::parse(R"(
        [1, [["c1", "luz", 1700000000000000], "teams/a/policy", 7,
             [0, [[[2, "teams/a/policy", "revision", "1", "2"]]]], null]])"));
}

class malformed_command : public testing::TestWithParam<malformed_case> {};

// Malformed entries must be rejected: they could crash a replica, or two replicas could decode them
// differently.
TEST_P(malformed_command, is_refused)
{
    EXPECT_EQ(try_decode(GetParam().bytes()), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    table, malformed_command,
    testing::Values(
        malformed_case{"empty", [] { return bytes_type(); }},
        malformed_case{"deep_lists", [] { return bytes_type(1'000'000, 0x81); }},
        malformed_case{"deep_objects",
                       [] {
                           bytes_type bytes;
                           for (int i = 0; i < 100'000; ++i) {
                               bytes.insert(bytes.end(), {0xA1, 0x61, 'a'});
                           }
                           return bytes;
                       }},
        malformed_case{
            "huge_list",
            [] { return bytes_type{0x9B, 0x7F, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF}; }},
        malformed_case{
            "huge_text",
            [] { return bytes_type{0x7B, 0x7F, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF}; }},
        malformed_case{"repeated_key",
                       [] { return bytes_type{0xA2, 0x61, 'a', 0x01, 0x61, 'a', 0x01}; }},
        malformed_case{"too_large", [] { return bytes_type(max_command_size + 1, 0); }},
        malformed_case{"unknown_command",
                       [] { return encode_altered([](json& s) { s[0] = 99; }); }},
        malformed_case{"negative_command",
                       [] { return encode_altered([](json& s) { s[0] = -1; }); }},
        malformed_case{"three_parts",
                       [] { return encode_altered([](json& s) { s.push_back(1); }); }},
        malformed_case{"missing_field",
                       [] { return encode_altered([](json& s) { s[1].erase(3); }); }},
        malformed_case{"additional_field",
                       [] { return encode_altered([](json& s) { s[1].push_back(1); }); }},
        malformed_case{"wrong_type", [] { return encode_altered([](json& s) { s[1][2] = "7"; }); }},
        malformed_case{"negative_version",
                       [] { return encode_altered([](json& s) { s[1][2] = -7; }); }},
        malformed_case{"float_version",
                       [] { return encode_altered([](json& s) { s[1][2] = 7.0; }); }},
        malformed_case{"bad_path",
                       [] { return encode_altered([](json& s) { s[1][1] = "teams//a"; }); }},
        malformed_case{"time_that_overflows",
                       [] { return encode_altered([](json& s) { s[1][0][2] = INT64_MAX; }); }},
        malformed_case{"unknown_change_kind",
                       [] { return encode_altered([](json& s) { s[1][3][1][0][0][0] = 3; }); }},
        malformed_case{
            "escape_in_value",
            [] { return encode_altered([](json& s) { s[1][3][1][0][0][4] = "\x1B[2J"; }); }},
        malformed_case{
            "escape_in_field",
            [] { return encode_altered([](json& s) { s[1][3][1][0][0][2] = "\x1B"; }); }}),
    [](const auto& test) { return test.param.name; });

// Damaged entries must not crash the decoder, and an entry that is accepted must survive
// re-encoding: 20,000 random mutations.
TEST(command_codec, survives_random_mutations)
{
    std::mt19937_64 random(31);
    auto commands = all_commands();
    int accepted = 0;
    for (int round = 0; round < 20'000; ++round) {
        auto bytes = encode(commands[random() % commands.size()]);
        for (auto edits = 1 + random() % 3; edits > 0; --edits) {
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        }
        if (auto entry = try_decode(bytes)) {
            ++accepted;
            EXPECT_EQ(try_decode(encode(*entry)), entry);
        }
    }
    EXPECT_GT(accepted, 0);
}

// Encoded replies must keep the conflict, the problems and the claim holder.
TEST(command_codec, carries_replies)
{
    change_reply refused;
    refused.verdict = change_verdict::conflict;
    refused.version = base::settings_version(9);
    refused.conflict = change_conflict{base::settings_version(9),
                                       base::operator_id("luz"),
                                       base::change_id("c2"),
                                       base::wall_time(),
                                       diff(),
                                       3,
                                       true};
    refused.problems.push_back({settings::problem_kind::out_of_range, "f.ini",
                                settings::line_number(3), path(), settings::field_name("revision"),
                                "a number"});
    claim_reply held{claim_verdict::held, base::attempt_id(3), base::node_id("n")};
    for (const reply& answer : {reply(refused), reply(held)}) {
        EXPECT_EQ(try_decode_reply(encode(answer)), answer);
    }
    EXPECT_EQ(try_decode_reply({0x01}), std::nullopt);
}

} // namespace
} // namespace damaskladder::control
