#include "control/state_machine.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace damaskladder::control {
namespace {

settings::setting_path path_of(const std::string& text)
{
    return settings::setting_path::parse(text).value_or(settings::setting_path());
}

base::wall_time at(std::int64_t second)
{
    return base::wall_time(std::chrono::seconds(second));
}

bool restore(state_machine& machine, const std::vector<std::uint8_t>& bytes)
{
    return base::handle_failure(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(machine.restore(bytes));
            return true;
        },
        [](const base::failure& error) {
            EXPECT_EQ(error.kind, base::failure_kind::corrupt);
            return false;
        });
}

command_header header(const std::string& change, const std::string& author = "mara")
{
    return {base::change_id(change), base::operator_id(author), at(5)};
}

create_credential grant(const std::string& change, const std::string& name, credential_role role,
                        const std::string& subtree)
{
    return {header(change),
            {base::operator_id(name), role, path_of(subtree), token_hash(digest_of(name))}};
}

change_settings set_revision(const std::string& change, const std::string& author,
                             const std::string& team, std::uint64_t based_on, int revision)
{
    settings::setting_tree tree;
    auto policy = path_of("teams/" + team + "/policy");
    tree.set(policy, settings::field_name("revision"),
             settings::field_value(std::to_string(revision)));
    return {header(change, author), policy, base::settings_version(based_on), tree};
}

/// Applies commands at increasing log positions.
class log_driver {
public:
    explicit log_driver(const state_options& options = {}) : machine(options) {}

    reply apply(const command& entry)
    {
        ++m_position;
        return machine.apply({log_position(m_position), at(static_cast<std::int64_t>(m_position))},
                             entry);
    }
    change_reply change(const command& entry) { return std::get<change_reply>(apply(entry)); }

    state_machine machine;

private:
    std::uint64_t m_position = 0;
};

/// Expected version and revision of a team's settings.
struct reference_team {
    std::uint64_t version = 0;
    /// No command requests this value, so the first change always differs.
    int revision = -1;
};

struct recorded_reply {
    std::string content;
    change_reply answer;
};

// Guards against two changes accepted on the same base version, replies that differ after a resend
// or restart, and diverging replicas: 60 random schedules of 120 commands by three operators on two
// teams, a third of them resends, on two replicas of which one is restored from a snapshot at
// random.
TEST(state_machine, agrees_with_a_plain_map_of_teams)
{
    std::mt19937_64 random(41);
    for (int schedule = 0; schedule < 60; ++schedule) {
        log_driver driver;
        log_driver replica;
        for (auto* each : {&driver, &replica}) {
            each->apply(grant("g1", "mara", credential_role::admin, ""));
            each->apply(grant("g2", "luz", credential_role::team, "teams/a"));
            each->apply(grant("g3", "rod", credential_role::team, "teams/b"));
        }
        std::map<std::string, reference_team> teams;
        std::map<std::string, recorded_reply> answers;
        int accepted = 0;
        for (std::uint64_t position = 4; position < 124; ++position) {
            const char* authors[] = {"mara", "luz", "rod"};
            std::string author = authors[random() % 3];
            std::string team = random() % 2 == 0 ? "a" : "b";
            auto id = "c" + std::to_string(random() % 3 == 0 ? random() % position : position);
            auto& present = teams[team];
            auto based_on = random() % 4 == 0 ? random() % position : present.version;
            auto revision = static_cast<int>(random() % 4);
            auto content = author + team + std::to_string(based_on) + std::to_string(revision);

            auto expected = change_verdict::accepted;
            bool answered = answers.contains(id);
            if (answered) {
                expected = answers[id].content == content ? answers[id].answer.verdict
                                                          : change_verdict::change_id_reused;
            }
            else if (author != "mara" && (author == "luz") != (team == "a")) {
                expected = change_verdict::permission_denied;
            }
            else if (based_on != present.version) {
                expected = change_verdict::conflict;
            }
            else if (revision == present.revision) {
                expected = change_verdict::unchanged;
            }
            else if (revision == 0) {
                expected = change_verdict::invalid;
            }

            auto entry = set_revision(id, author, team, based_on, revision);
            auto answer = driver.change(entry);
            ASSERT_EQ(answer.verdict, expected)
                << "schedule " << schedule << " at " << position << ": " << to_string(expected);
            ASSERT_EQ(replica.change(entry), answer);
            if (answered && expected != change_verdict::change_id_reused) {
                ASSERT_EQ(answer, answers[id].answer);
            }
            if (!answered) {
                answers[id] = {content, answer};
            }
            if (!answered && expected == change_verdict::accepted) {
                present = {position, revision};
                ++accepted;
            }
            if (random() % 20 == 0) {
                ASSERT_TRUE(restore(replica.machine, driver.machine.snapshot()));
            }
        }
        EXPECT_GT(accepted, 5);
        EXPECT_EQ(driver.machine.snapshot(), replica.machine.snapshot());
        EXPECT_EQ(driver.machine.audit().verify(), std::nullopt);
    }
}

struct malformed_command_case {
    const char* name;
    command entry;
};

class malformed_operator_command : public testing::TestWithParam<malformed_command_case> {};

// Commands that did not pass through the codec must still be checked against the bounds.
TEST_P(malformed_operator_command, is_refused)
{
    log_driver driver;
    driver.apply(grant("g1", "mara", credential_role::admin, ""));
    EXPECT_EQ(driver.change(GetParam().entry).verdict, change_verdict::malformed);
}

INSTANTIATE_TEST_SUITE_P(
    table, malformed_operator_command,
    testing::Values(
        malformed_command_case{"no_change_id", set_revision("", "mara", "a", 0, 2)},
        malformed_command_case{"long_change_id",
                               set_revision(std::string(65, 'c'), "mara", "a", 0, 2)},
        malformed_command_case{"blank_change_id", set_revision("a b", "mara", "a", 0, 2)},
        malformed_command_case{"no_author", set_revision("c", "", "a", 0, 2)},
        malformed_command_case{"author_is_path", set_revision("c", "a/b", "a", 0, 2)},
        malformed_command_case{"root", change_settings{header("c"), {}, {}, {}}},
        malformed_command_case{"long_name",
                               grant("c", std::string(33, 'n'), credential_role::team, "teams/a")},
        malformed_command_case{"key_is_path", withdraw_key{header("c"), base::key_id("a/b")}},
        malformed_command_case{
            "evacuated_domain_is_path",
            set_evacuation{header("c"), base::failure_domain_id("a/b"), true, {}}},
        malformed_command_case{"no_evacuated_domain",
                               set_evacuation{header("c"), base::failure_domain_id(""), true, {}}},
        malformed_command_case{
            "known_domain_is_path",
            set_evacuation{
                header("c"), base::failure_domain_id("a"), true, {base::failure_domain_id("a/b")}}},
        malformed_command_case{"too_many_known_domains",
                               set_evacuation{header("c"), base::failure_domain_id("a"), true,
                                              std::vector(101, base::failure_domain_id("a"))}},
        malformed_command_case{
            "long_reason", refuse_proposal{header("c"), proposal_id(1), std::string(501, 'r')}}),
    [](const auto& test) { return test.param.name; });

// A log entry must not be applied twice or out of order.
TEST(state_machine, refuses_positions_out_of_order)
{
    state_machine machine;
    machine.apply({log_position(2), at(2)}, grant("g1", "mara", credential_role::admin, ""));
    auto before = machine.snapshot();
    for (std::uint64_t position : {0U, 1U, 2U}) {
        auto answer =
            machine.apply({log_position(position), at(9)}, set_revision("c", "mara", "a", 0, 2));
        EXPECT_EQ(std::get<change_reply>(answer).verdict, change_verdict::out_of_order);
    }
    claim_request claim{{base::workspace_id("w"), base::request_id("1-x")}, {}, {}, {}};
    auto answer = machine.apply({log_position(1), at(9)}, claim);
    EXPECT_EQ(std::get<claim_reply>(answer).verdict, claim_verdict::out_of_order);
    EXPECT_EQ(machine.snapshot(), before);
}

// Tables must not exceed their limits, rotation must keep the audit chain valid, and a truncated
// history must not be reported as complete.
TEST(state_machine, keeps_its_tables_bounded)
{
    state_options options;
    options.history.max_rows = 3;
    options.cached_replies.max_rows = 4;
    options.audit_records.max_rows = 5;
    options.max_pending_proposals = 1;
    options.max_credentials = 2;
    log_driver driver(options);
    driver.apply(grant("g1", "mara", credential_role::admin, ""));
    for (int i = 0; i < 8; ++i) {
        auto based_on = driver.machine.version_of(path_of("teams/a")).value();
        auto change = set_revision("c" + std::to_string(i), "mara", "a", based_on, 2 + i);
        ASSERT_EQ(driver.change(change).verdict, change_verdict::accepted);
    }
    auto& machine = driver.machine;
    EXPECT_EQ(machine.history({}, 100).size(), 3U);
    EXPECT_EQ(machine.find_cached_reply(base::change_id("c3")), nullptr);
    EXPECT_NE(machine.find_cached_reply(base::change_id("c4")), nullptr);
    EXPECT_EQ(machine.audit().records().size(), 5U);
    EXPECT_EQ(machine.audit().verify(), std::nullopt);
    auto newest = machine.version_of(path_of("teams/a"));
    EXPECT_FALSE(machine.difference(base::settings_version(2), newest, {}).complete);
    EXPECT_TRUE(machine.difference(base::settings_version(6), newest, {}).complete);
    auto late = driver.change(set_revision("c0", "mara", "a", 0, 2));
    EXPECT_EQ(late.verdict, change_verdict::conflict);
    EXPECT_FALSE(late.conflict->complete);

    for (auto expected : {change_verdict::pending, change_verdict::too_many}) {
        propose_settings proposed;
        auto change =
            set_revision("p" + std::to_string(static_cast<int>(expected)), "mara", "b", 0, 2);
        proposed.header = change.header;
        proposed.subtree = change.subtree;
        proposed.edit = change.edit;
        EXPECT_EQ(driver.change(proposed).verdict, expected);
    }
    EXPECT_EQ(driver.change(grant("g2", "luz", credential_role::team, "teams/a")).verdict,
              change_verdict::accepted);
    EXPECT_EQ(driver.change(grant("g3", "rod", credential_role::team, "teams/a")).verdict,
              change_verdict::too_many);

    state_machine restored(options);
    ASSERT_TRUE(restore(restored, machine.snapshot()));
    EXPECT_EQ(restored.snapshot(), machine.snapshot());
}

constexpr std::int64_t table_size = 128 << 10;
constexpr int large_routes = 200;

/// Replaces the routes of team a by large_routes routes with this time-out, or by none.
change_settings set_routes(log_driver& driver, const std::string& change, int timeout_ms)
{
    settings::setting_tree tree;
    for (int i = 0; timeout_ms > 0 && i < large_routes; ++i) {
        const auto name = "r" + std::to_string(i);
        const auto route = path_of("teams/a/routes/" + name);
        tree.set(route, settings::field_name("prefix"), settings::field_value("/" + name));
        tree.set(route, settings::field_name("service"), settings::field_value("files"));
        tree.set(route, settings::field_name("idempotent"), settings::field_value("yes"));
        tree.set(route, settings::field_name("open"), settings::field_value("yes"));
        tree.set(route, settings::field_name("timeout"),
                 settings::field_value(std::to_string(timeout_ms) + "ms"));
    }
    const auto routes = path_of("teams/a/routes");
    return {header(change), routes, driver.machine.version_of(routes), tree};
}

propose_settings propose_routes(log_driver& driver, const std::string& change, int timeout_ms)
{
    const auto wanted = set_routes(driver, change, timeout_ms);
    propose_settings proposed;
    proposed.header = wanted.header;
    proposed.subtree = wanted.subtree;
    proposed.based_on = wanted.based_on;
    proposed.edit = wanted.edit;
    return proposed;
}

struct large_row_case {
    const char* name;
    /// Applies the i-th command; returns its verdict.
    change_verdict (*step)(log_driver&, int i);
    /// Verdict of the first and of the last step.
    change_verdict first;
    change_verdict last;
};

void PrintTo(const large_row_case& value, std::ostream* out)
{
    *out << value.name;
}

class large_rows : public testing::TestWithParam<large_row_case> {};

// Guards against a replica that runs out of memory because tables of the replicated state were
// bounded by a number of rows or changes, whatever their size.
TEST_P(large_rows, are_bounded_by_size)
{
    state_options options;
    const table_limits limits{10'000, base::byte_count(table_size)};
    options.history = limits;
    options.cached_replies = limits;
    options.audit_records = limits;
    options.closed_proposals = limits;
    options.max_pending_proposals_size = base::byte_count(table_size);
    log_driver driver(options);
    driver.apply(grant("g1", "mara", credential_role::admin, ""));
    driver.change(set_routes(driver, "first", 1));
    constexpr int steps = 400;
    for (int i = 0; i < steps; ++i) {
        const auto verdict = GetParam().step(driver, i);
        EXPECT_EQ(verdict, i == 0 ? GetParam().first : verdict);
        EXPECT_EQ(verdict, i == steps - 1 ? GetParam().last : verdict);
    }
    // A row may exceed the limit alone, and the stored form has more bytes than the text.
    constexpr std::size_t bound = 6 * table_size;
    EXPECT_LE(driver.machine.snapshot().size(), bound);
    EXPECT_EQ(driver.machine.audit().verify(), std::nullopt);
    state_machine restored(options);
    ASSERT_TRUE(restore(restored, driver.machine.snapshot()));
    EXPECT_EQ(restored.snapshot(), driver.machine.snapshot());
}

INSTANTIATE_TEST_SUITE_P(
    table, large_rows,
    testing::Values(
        large_row_case{"history_and_audit",
                       [](log_driver& driver, int i) {
                           const auto change = "c" + std::to_string(i);
                           return driver.change(set_routes(driver, change, i % 2)).verdict;
                       },
                       change_verdict::accepted, change_verdict::accepted},
        large_row_case{"replies_to_conflicts",
                       [](log_driver& driver, int i) {
                           auto stale = set_routes(driver, "c" + std::to_string(i), 2);
                           stale.based_on = base::settings_version(1);
                           return driver.change(stale).verdict;
                       },
                       change_verdict::conflict, change_verdict::conflict},
        large_row_case{"pending_proposals",
                       [](log_driver& driver, int i) {
                           const auto change = "p" + std::to_string(i);
                           return driver.change(propose_routes(driver, change, 2)).verdict;
                       },
                       change_verdict::pending, change_verdict::too_many},
        large_row_case{"closed_proposals",
                       [](log_driver& driver, int i) {
                           const auto change = std::to_string(i);
                           refuse_proposal refusal;
                           refusal.proposal =
                               driver.change(propose_routes(driver, "p" + change, 2)).proposal;
                           refusal.header = header("r" + change);
                           refusal.reason = "not now";
                           return driver.change(refusal).verdict;
                       },
                       change_verdict::accepted, change_verdict::accepted}),
    [](const auto& each) { return std::string(each.param.name); });

// Damaged snapshots must neither crash a replica nor be restored partially: truncation at every
// length and 3,000 random mutations.
TEST(state_machine, refuses_damaged_snapshots)
{
    log_driver driver;
    driver.apply(grant("g1", "mara", credential_role::admin, ""));
    driver.apply(set_revision("c1", "mara", "a", 0, 2));
    driver.apply(claim_request{{base::workspace_id("w"), base::request_id("3-x")},
                               base::attempt_id(1),
                               base::node_id("n"),
                               {}});
    auto bytes = driver.machine.snapshot();
    state_machine restored;
    auto empty = restored.snapshot();
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        auto cut = bytes;
        cut.resize(length);
        ASSERT_FALSE(restore(restored, cut));
    }
    std::mt19937_64 random(53);
    for (int round = 0; round < 3'000; ++round) {
        auto damaged = bytes;
        damaged[random() % damaged.size()] ^= static_cast<std::uint8_t>(1 + random() % 255);
        state_machine other;
        if (!restore(other, damaged)) {
            ASSERT_EQ(other.snapshot(), empty) << "a refused snapshot changed the state";
        }
    }
}

} // namespace
} // namespace damaskladder::control
