#include "consensus/replica.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace damaskladder::consensus {
namespace {

using namespace std::chrono_literals;

const replica_identity self{replica_id("a"), identity_nonce(1)};

/// Replica that is the only member of its cluster, or one of several that receives no messages
/// except those of the test.
class isolated_replica {
public:
    explicit isolated_replica(const replica_options& options,
                              recovered_state state = {self, {}, nullptr, {}})
        : m_core(options, std::move(state), [] { return 0; })
    {
        execute_effects(m_core.start(m_now));
        handle(tick{});
    }

    void handle(event happened) { execute_effects(m_core.handle(std::move(happened), m_now)); }

    std::size_t propose_size(std::size_t size)
    {
        handle(propose{{{proposal_id(1), {std::string(size, 'x')}}}});
        return refusals.size();
    }

    std::vector<refusal_reason> refusals;
    std::vector<snapshot_rejected> rejected;
    std::vector<message> sent;
    std::vector<log_disposition> installed;
    std::size_t wanted = 0;
    bool sync = true;
    /// Size of the state passed when a snapshot is wanted; nullopt if none is passed.
    std::optional<std::size_t> state_size;

    base::byte_count log_size() const { return m_core.status().log_size; }

private:
    void execute_effects(const std::vector<effect>& effects)
    {
        std::optional<persist_token> last;
        std::optional<log_index> snapshot_at;
        for (const effect& each : effects) {
            if (const auto* request = std::get_if<refused>(&each)) {
                refusals.push_back(request->reason);
            }
            if (const auto* large = std::get_if<snapshot_rejected>(&each)) {
                rejected.push_back(*large);
            }
            if (const auto* outgoing = std::get_if<send_message>(&each)) {
                sent.push_back(outgoing->content.body);
            }
            if (const auto* content = std::get_if<persist_snapshot>(&each)) {
                installed.push_back(content->log);
                last = content->token;
            }
            if (const auto* due = std::get_if<snapshot_wanted>(&each)) {
                ++wanted;
                snapshot_at = due->applied_index;
            }
            if (const auto* votes = std::get_if<persist_vote>(&each)) {
                last = votes->token;
            }
            if (const auto* entries = std::get_if<persist_entries>(&each)) {
                last = entries->token;
            }
        }
        if (last && sync) {
            handle(sync_completed{*last});
        }
        if (snapshot_at && state_size) {
            handle(snapshot_taken{*snapshot_at, std::string(*state_size, 's')});
        }
    }

    base::time_point m_now;
    replica m_core;
};

struct limit_case {
    const char* name;
    std::function<void(replica_options&)> set;
    std::function<void(isolated_replica&)> steps;
    std::vector<refusal_reason> expected;
};

void PrintTo(const limit_case& value, std::ostream* out)
{
    *out << value.name;
}

class replica_limits : public testing::TestWithParam<limit_case> {};

// Guards against limits that are off by one, and against requests that never get an outcome.
TEST_P(replica_limits, refuse_with_the_reason)
{
    replica_options options;
    options.initial_replicas = {self.id};
    GetParam().set(options);
    isolated_replica replica(options);
    GetParam().steps(replica);
    EXPECT_EQ(replica.refusals, GetParam().expected);
}

void no_change(replica_options& /*options*/) {}

event add(const char* id, std::uint64_t nonce)
{
    return membership_change_requested{proposal_id(2),
                                       add_replica{{replica_id(id), identity_nonce(nonce)}}};
}

event remove(const char* id)
{
    return membership_change_requested{proposal_id(2), remove_replica{replica_id(id)}};
}

INSTANTIATE_TEST_SUITE_P(
    table, replica_limits,
    testing::Values(
        limit_case{"largest_command",
                   [](replica_options& options) { options.max_command = base::byte_count(10); },
                   [](isolated_replica& replica) { replica.propose_size(10); },
                   {}},
        limit_case{"command_too_large",
                   [](replica_options& options) { options.max_command = base::byte_count(10); },
                   [](isolated_replica& replica) { replica.propose_size(11); },
                   {refusal_reason::too_large}},
        limit_case{"too_much_uncommitted",
                   [](replica_options& options) { options.max_uncommitted = base::byte_count(50); },
                   [](isolated_replica& replica) {
                       replica.sync = false;
                       replica.propose_size(10);
                       replica.propose_size(10);
                       replica.propose_size(10);
                   },
                   {refusal_reason::overloaded}},
        limit_case{
            "not_formed",
            [](replica_options& options) { options.initial_replicas.emplace_back("b"); },
            [](isolated_replica& replica) {
                replica.propose_size(1);
                replica.handle(read_requested{read_id(1)});
                replica.handle(add("c", 1));
            },
            {refusal_reason::not_leader, refusal_reason::not_leader, refusal_reason::not_leader}},
        limit_case{"add_itself",
                   no_change,
                   [](isolated_replica& replica) { replica.handle(add("a", 2)); },
                   {refusal_reason::already_a_member}},
        limit_case{"add_without_nonce",
                   no_change,
                   [](isolated_replica& replica) { replica.handle(add("b", 0)); },
                   {refusal_reason::invalid_identity}},
        limit_case{"add_twice",
                   no_change,
                   [](isolated_replica& replica) {
                       replica.handle(add("b", 1));
                       replica.handle(add("b", 1));
                   },
                   {refusal_reason::already_a_member}},
        limit_case{"two_changes_at_once",
                   no_change,
                   [](isolated_replica& replica) {
                       replica.sync = false;
                       replica.handle(add("b", 1));
                       replica.handle(add("c", 1));
                   },
                   {refusal_reason::change_in_progress}},
        limit_case{"too_many_members",
                   [](replica_options& options) { options.max_members = 2; },
                   [](isolated_replica& replica) {
                       replica.handle(add("b", 1));
                       replica.handle(add("c", 1));
                   },
                   {refusal_reason::too_many_members}},
        limit_case{"remove_a_stranger",
                   no_change,
                   [](isolated_replica& replica) { replica.handle(remove("b")); },
                   {refusal_reason::not_a_member}},
        limit_case{"remove_the_last_voter",
                   no_change,
                   [](isolated_replica& replica) { replica.handle(remove("a")); },
                   {refusal_reason::last_voter}},
        limit_case{"storage_failed",
                   no_change,
                   [](isolated_replica& replica) {
                       replica.sync = false;
                       replica.propose_size(1);
                       replica.handle(storage_failed{});
                       replica.propose_size(1);
                       replica.handle(read_requested{read_id(1)});
                   },
                   {refusal_reason::storage_failed, refusal_reason::storage_failed,
                    refusal_reason::storage_failed}}),
    [](const auto& each) { return std::string(each.param.name); });

// Guards against a snapshot above the limit that is stored but cannot be read again.
TEST(replica, rejects_a_snapshot_that_is_too_large)
{
    replica_options options;
    options.initial_replicas = {self.id};
    options.max_snapshot = base::byte_count(10);
    options.snapshot_after_entries = 3;
    isolated_replica replica(options);
    replica.propose_size(1);
    replica.propose_size(1);
    ASSERT_EQ(replica.wanted, 1U);
    replica.handle(snapshot_taken{log_index(3), std::string(11, 's')});
    ASSERT_EQ(replica.rejected.size(), 1U);
    replica.handle(snapshot_taken{log_index(3), std::string(10, 's')});
    EXPECT_EQ(replica.rejected.size(), 1U);
}

struct log_growth_case {
    const char* name;
    std::function<void(replica_options&)> set;
    std::size_t commands;
    std::size_t command_size;
    std::size_t state_size;
    std::size_t snapshots;
    std::int64_t max_log_size;
};

void PrintTo(const log_growth_case& value, std::ostream* out)
{
    *out << value.name;
}

class log_growth : public testing::TestWithParam<log_growth_case> {};

// Guards against a replica that runs out of memory, at each restart too, after a few hundred large
// commands: the log was cut after a number of entries, whatever their size.
TEST_P(log_growth, is_bounded_by_size)
{
    replica_options options;
    options.initial_replicas = {self.id};
    GetParam().set(options);
    isolated_replica replica(options);
    replica.state_size = GetParam().state_size;
    for (std::size_t i = 0; i < GetParam().commands; ++i) {
        replica.propose_size(GetParam().command_size);
        ASSERT_LE(replica.log_size(), base::byte_count(GetParam().max_log_size)) << i;
    }
    EXPECT_EQ(replica.refusals.size(), 0U);
    EXPECT_EQ(replica.wanted, GetParam().snapshots);
}

constexpr std::size_t kib = 1 << 10;
constexpr std::int64_t mib = 1 << 20;

void small_limits(replica_options& options)
{
    options.snapshot_after_entries = 100;
    options.snapshot_after_bytes = base::byte_count(mib);
    options.retained_before_snapshot = {10, base::byte_count(mib / 4)};
}

INSTANTIATE_TEST_SUITE_P(
    table, log_growth,
    testing::Values(
        log_growth_case{"defaults", no_change, 120, 600 * kib, 700 * kib, 8, 13 * mib},
        log_growth_case{"small_commands", small_limits, 1000, 10, 1, 10, 5 * mib / 1000},
        log_growth_case{"large_commands", small_limits, 100, 100 * kib, 1, 9,
                        mib + mib / 4 + mib / 8},
        log_growth_case{"command_above_retention", small_limits, 10, 600 * kib, 1, 5, 2 * mib},
        log_growth_case{"snapshot_above_limit", small_limits, 100, 100 * kib, 4 * mib, 3, 5 * mib}),
    [](const auto& each) { return std::string(each.param.name); });

const replica_identity leader{replica_id("b"), identity_nonce(2)};
const replica_identity other{replica_id("c"), identity_nonce(3)};

/// State with term 5 and entries of the terms 1, 1, 2, 2, 2.
recovered_state five_entries()
{
    const configuration members{
        config_id(1),
        {{self, member_role::voter}, {leader, member_role::voter}, {other, member_role::voter}}};
    recovered_state state{self, {term_number(5), std::nullopt}, nullptr, {}};
    state.entries.push_back({log_index(1), term_number(1), members});
    for (const std::uint64_t term : {1, 2, 2, 2}) {
        state.entries.push_back({log_index(state.entries.size() + 1), term_number(term), {}});
    }
    return state;
}

vote_request ask_vote(std::uint64_t term, std::uint64_t last_index, bool transfer = false)
{
    return {term_number(term), log_index(last_index), term_number(2), false, transfer};
}

append_request append(std::uint64_t term, std::uint64_t previous, std::uint64_t previous_term)
{
    return {term_number(term),
            log_index(previous),
            term_number(previous_term),
            {},
            round_number(1),
            {}};
}

append_reply rejection(std::uint64_t term, std::uint64_t previous, std::uint64_t hint)
{
    return {term_number(term), false, {}, log_index(previous), log_index(hint), round_number(1)};
}

struct answer_case {
    const char* name;
    /// Sender and message. The replica knows a live leader only if the first message comes from it.
    std::vector<std::pair<replica_identity, message>> received;
    std::vector<message> answers;
    replica_identity to = self;
};

void PrintTo(const answer_case& value, std::ostream* out)
{
    *out << value.name;
}

class follower_answers : public testing::TestWithParam<answer_case> {};

// Guards against votes and acknowledgements that a follower must not give.
TEST_P(follower_answers, are_as_in_the_table)
{
    isolated_replica replica({}, five_entries());
    for (const auto& [from, body] : GetParam().received) {
        replica.handle(message_received{{from, GetParam().to, body}});
    }
    EXPECT_EQ(replica.sent, GetParam().answers);
}

const append_reply met{term_number(5), true, log_index(5), log_index(5), {}, round_number(1)};
const vote_reply granted{term_number(6), true};

INSTANTIATE_TEST_SUITE_P(
    table, follower_answers,
    testing::Values(
        answer_case{"vote", {{other, ask_vote(6, 5)}}, {granted}},
        answer_case{
            "vote_again", {{other, ask_vote(6, 5)}, {other, ask_vote(6, 5)}}, {granted, granted}},
        answer_case{"second_vote_in_a_term",
                    {{other, ask_vote(6, 5)}, {leader, ask_vote(6, 5)}},
                    {granted, vote_reply{term_number(6), false}}},
        answer_case{"second_vote_to_a_wiped_folder",
                    {{other, ask_vote(6, 5)}, {{other.id, identity_nonce(9)}, ask_vote(6, 5)}},
                    {granted, vote_reply{term_number(6), false}}},
        answer_case{
            "vote_of_an_old_term", {{other, ask_vote(4, 5)}}, {vote_reply{term_number(5), false}}},
        answer_case{"vote_for_a_shorter_log",
                    {{other, ask_vote(6, 4)}},
                    {vote_reply{term_number(6), false}}},
        answer_case{"vote_against_a_live_leader",
                    {{leader, append(5, 5, 2)}, {other, ask_vote(6, 5)}},
                    {met, vote_reply{term_number(5), false}}},
        answer_case{"vote_in_a_hand_over",
                    {{leader, append(5, 5, 2)}, {other, ask_vote(6, 5, true)}},
                    {met, granted}},
        answer_case{
            "pre_vote",
            {{other, pre_vote_request{term_number(6), log_index(5), term_number(2), false}}},
            {pre_vote_reply{term_number(5), term_number(6), true, true}}},
        answer_case{
            "pre_vote_against_a_live_leader",
            {{leader, append(5, 5, 2)},
             {other, pre_vote_request{term_number(6), log_index(5), term_number(2), false}}},
            {met, pre_vote_reply{term_number(5), term_number(6), false, true}}},
        answer_case{
            "second_formation_of_the_cluster",
            {{other, pre_vote_request{term_number(6), {}, {}, true}},
             {other, vote_request{term_number(6), log_index(9), term_number(9), true, false}}},
            {pre_vote_reply{term_number(5), term_number(6), false, true},
             vote_reply{term_number(6), false}}},
        answer_case{"append_of_an_old_term", {{leader, append(4, 5, 2)}}, {rejection(5, 5, 0)}},
        answer_case{"append_behind_the_end", {{leader, append(5, 8, 2)}}, {rejection(5, 8, 6)}},
        answer_case{"append_to_another_term", {{leader, append(5, 5, 4)}}, {rejection(5, 5, 3)}},
        answer_case{"append_to_a_wiped_folder",
                    {{leader, append(5, 5, 2)}},
                    {},
                    {self.id, identity_nonce(9)}},
        answer_case{"hand_over_by_another_than_the_leader",
                    {{leader, append(5, 5, 2)}, {other, timeout_now{term_number(5)}}},
                    {met}}),
    [](const auto& each) { return std::string(each.param.name); });

struct chunk_case {
    std::uint64_t last_term;
    log_disposition expected;
};

class received_snapshots : public testing::TestWithParam<chunk_case> {};

// Guards against entries kept after a received snapshot although they differ from the leader's.
TEST_P(received_snapshots, keep_only_a_log_that_fits)
{
    isolated_replica replica({}, five_entries());
    const snapshot_chunk first{term_number(5),
                               log_index(3),
                               term_number(GetParam().last_term),
                               {},
                               base::byte_count(4),
                               base::byte_count(0),
                               "ab",
                               round_number(1)};
    snapshot_chunk second = first;
    second.offset = base::byte_count(2);
    second.data = "cd";
    const std::vector<snapshot_chunk> chunks{second, first, first, second, second};
    for (const snapshot_chunk& each : chunks) {
        replica.handle(message_received{{leader, self, each}});
    }
    EXPECT_EQ(replica.installed, std::vector<log_disposition>{GetParam().expected});
    const auto progress = [](std::int64_t next, bool installed) {
        return snapshot_reply{term_number(5), log_index(3), base::byte_count(next), installed,
                              round_number(1)};
    };
    EXPECT_EQ(replica.sent,
              (std::vector<message>{progress(0, false), progress(2, false), progress(2, false),
                                    progress(4, true), progress(0, true)}));
}

INSTANTIATE_TEST_SUITE_P(table, received_snapshots,
                         testing::Values(chunk_case{2, log_disposition::keep_suffix},
                                         chunk_case{3, log_disposition::discard_all}));

} // namespace
} // namespace damaskladder::consensus
