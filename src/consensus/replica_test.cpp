#include "consensus/replica.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <variant>

namespace damaskladder::consensus {
namespace {

using namespace std::chrono_literals;

const replica_identity self{replica_id("a"), identity_nonce(1)};

/// One replica that is alone in its cluster, or one of two that hears nobody.
class lone_replica {
public:
    explicit lone_replica(const replica_options& options)
        : m_core(options, {self, {}, nullptr, {}}, [] { return 0; })
    {
        carry_out(m_core.start(m_now));
        handle(tick{});
    }

    void handle(event happened) { carry_out(m_core.handle(std::move(happened), m_now)); }

    std::size_t propose_size(std::size_t size)
    {
        handle(propose{{{proposal_id(1), {std::string(size, 'x')}}}});
        return refusals.size();
    }

    std::vector<refusal_reason> refusals;
    std::vector<snapshot_rejected> rejected;
    std::size_t wanted = 0;
    bool sync = true;

private:
    void carry_out(const std::vector<effect>& effects)
    {
        std::optional<persist_token> last;
        for (const effect& each : effects) {
            if (const auto* request = std::get_if<refused>(&each)) {
                refusals.push_back(request->reason);
            }
            if (const auto* large = std::get_if<snapshot_rejected>(&each)) {
                rejected.push_back(*large);
            }
            wanted += std::holds_alternative<snapshot_wanted>(each) ? 1 : 0;
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
    }

    base::time_point m_now;
    replica m_core;
};

struct limit_case {
    const char* name;
    std::function<void(replica_options&)> set;
    std::function<void(lone_replica&)> play;
    std::vector<refusal_reason> expected;
};

void PrintTo(const limit_case& value, std::ostream* out)
{
    *out << value.name;
}

class replica_limits : public testing::TestWithParam<limit_case> {};

// Guards against limits that are off by one, and requests that end without an outcome.
TEST_P(replica_limits, refuse_with_the_reason)
{
    replica_options options;
    options.initial_replicas = {self.id};
    GetParam().set(options);
    lone_replica replica(options);
    GetParam().play(replica);
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
                   [](lone_replica& replica) { replica.propose_size(10); },
                   {}},
        limit_case{"command_too_large",
                   [](replica_options& options) { options.max_command = base::byte_count(10); },
                   [](lone_replica& replica) { replica.propose_size(11); },
                   {refusal_reason::too_large}},
        limit_case{"too_much_uncommitted",
                   [](replica_options& options) { options.max_uncommitted = base::byte_count(50); },
                   [](lone_replica& replica) {
                       replica.sync = false;
                       replica.propose_size(10);
                       replica.propose_size(10);
                       replica.propose_size(10);
                   },
                   {refusal_reason::overloaded}},
        limit_case{
            "not_formed",
            [](replica_options& options) { options.initial_replicas.emplace_back("b"); },
            [](lone_replica& replica) {
                replica.propose_size(1);
                replica.handle(read_requested{read_id(1)});
                replica.handle(add("c", 1));
            },
            {refusal_reason::not_leader, refusal_reason::not_leader, refusal_reason::not_leader}},
        limit_case{"add_itself",
                   no_change,
                   [](lone_replica& replica) { replica.handle(add("a", 2)); },
                   {refusal_reason::already_a_member}},
        limit_case{"add_without_nonce",
                   no_change,
                   [](lone_replica& replica) { replica.handle(add("b", 0)); },
                   {refusal_reason::invalid_identity}},
        limit_case{"add_twice",
                   no_change,
                   [](lone_replica& replica) {
                       replica.handle(add("b", 1));
                       replica.handle(add("b", 1));
                   },
                   {refusal_reason::already_a_member}},
        limit_case{"two_changes_at_once",
                   no_change,
                   [](lone_replica& replica) {
                       replica.sync = false;
                       replica.handle(add("b", 1));
                       replica.handle(add("c", 1));
                   },
                   {refusal_reason::change_in_progress}},
        limit_case{"too_many_members",
                   [](replica_options& options) { options.max_members = 2; },
                   [](lone_replica& replica) {
                       replica.handle(add("b", 1));
                       replica.handle(add("c", 1));
                   },
                   {refusal_reason::too_many_members}},
        limit_case{"remove_a_stranger",
                   no_change,
                   [](lone_replica& replica) { replica.handle(remove("b")); },
                   {refusal_reason::not_a_member}},
        limit_case{"remove_the_last_voter",
                   no_change,
                   [](lone_replica& replica) { replica.handle(remove("a")); },
                   {refusal_reason::last_voter}},
        limit_case{"storage_failed",
                   no_change,
                   [](lone_replica& replica) {
                       replica.sync = false;
                       replica.propose_size(1);
                       replica.handle(storage_failed{});
                       replica.propose_size(1);
                       replica.handle(read_requested{read_id(1)});
                   },
                   {refusal_reason::storage_failed, refusal_reason::storage_failed,
                    refusal_reason::storage_failed}}),
    [](const auto& each) { return std::string(each.param.name); });

// Guards against a snapshot above the limit that is stored and cannot be read again.
TEST(replica, rejects_a_snapshot_that_is_too_large)
{
    replica_options options;
    options.initial_replicas = {self.id};
    options.max_snapshot = base::byte_count(10);
    options.snapshot_after_entries = 3;
    lone_replica replica(options);
    replica.propose_size(1);
    replica.propose_size(1);
    ASSERT_EQ(replica.wanted, 1U);
    replica.handle(snapshot_taken{log_index(3), std::string(11, 's')});
    ASSERT_EQ(replica.rejected.size(), 1U);
    replica.handle(snapshot_taken{log_index(3), std::string(10, 's')});
    EXPECT_EQ(replica.rejected.size(), 1U);
}

} // namespace
} // namespace damaskladder::consensus
