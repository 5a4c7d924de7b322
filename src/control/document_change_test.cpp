#include "control/state_machine.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace damaskladder::control {
namespace {

/// A document submitted on top of a version; its only entry holds the revision.
struct put_step {
    std::string change;
    std::uint64_t based_on = 0;
    std::uint64_t version = 0;
    int revision = 1;
    change_verdict verdict = change_verdict::accepted;
};

struct document_case {
    std::string name;
    std::vector<put_step> steps;
    std::uint64_t document = 0;
    std::string revision;
};

settings::setting_path policy()
{
    return *settings::setting_path::parse("teams/main/policy");
}

change_settings command_of(const put_step& step)
{
    change_settings put;
    put.header = {base::change_id(step.change), base::operator_id("op"), base::wall_time()};
    put.subtree = *settings::setting_path::parse("teams/main");
    settings::setting_tree entries;
    entries.set(policy(), settings::field_name("revision"),
                settings::field_value(std::to_string(step.revision)));
    put.edit = entries;
    put.document = document_change{
        base::document_version(step.based_on),
        {base::document_version(step.version),
         "version " + std::to_string(step.version) + " revision " + std::to_string(step.revision)}};
    return put;
}

class document_puts : public testing::TestWithParam<document_case> {};

// Guards against two documents accepted on the same base version, a resend that is refused, a
// document that is lost because it changes no entry, and accepted documents lost on restart.
TEST_P(document_puts, are_compared_and_set)
{
    state_machine machine{state_options()};
    std::uint64_t position = 0;
    const auto apply = [&](const command& entry) {
        ++position;
        return std::get<change_reply>(
            machine.apply({log_position(position), base::wall_time()}, entry));
    };
    create_credential admin;
    admin.header = {base::change_id("first"), base::operator_id("op"), base::wall_time()};
    admin.created.name = base::operator_id("op");
    admin.created.role = credential_role::admin;
    ASSERT_EQ(apply(admin).verdict, change_verdict::accepted);
    for (const auto& step : GetParam().steps) {
        EXPECT_EQ(apply(command_of(step)).verdict, step.verdict) << step.change;
    }
    state_machine restarted{state_options()};
    const auto snapshot = machine.snapshot();
    ASSERT_TRUE(restarted.restore(snapshot));
    EXPECT_EQ(restarted.document().version, base::document_version(GetParam().document));
    const auto* revision = restarted.tree().find(policy(), settings::field_name("revision"));
    EXPECT_EQ(revision == nullptr ? "" : revision->value(), GetParam().revision);
}

constexpr auto accepted = change_verdict::accepted;
constexpr auto conflict = change_verdict::conflict;

INSTANTIATE_TEST_SUITE_P(
    table, document_puts,
    testing::Values(
        document_case{"in_a_row", {{"a", 0, 2, 1, accepted}, {"b", 2, 7, 2, accepted}}, 7, "2"},
        document_case{
            "two_on_one_version", {{"a", 0, 2, 1, accepted}, {"b", 0, 3, 2, conflict}}, 2, "1"},
        document_case{
            "two_with_one_number", {{"a", 0, 2, 1, accepted}, {"b", 2, 2, 2, conflict}}, 2, "1"},
        document_case{
            "not_above_its_base", {{"a", 0, 5, 1, accepted}, {"b", 5, 4, 2, conflict}}, 5, "1"},
        document_case{
            "no_entry_changed", {{"a", 0, 2, 1, accepted}, {"b", 2, 3, 1, accepted}}, 3, "1"},
        document_case{
            "after_one_that_changed_no_entry",
            {{"a", 0, 2, 1, accepted}, {"b", 2, 3, 1, accepted}, {"c", 2, 4, 2, conflict}},
            3,
            "1"},
        document_case{"resent", {{"a", 0, 2, 1, accepted}, {"a", 0, 2, 1, accepted}}, 2, "1"},
        document_case{
            "resent_after_a_later_one",
            {{"a", 0, 2, 1, accepted}, {"b", 2, 3, 2, accepted}, {"a", 0, 2, 1, accepted}},
            3,
            "2"},
        document_case{"in_force_already_under_another_base",
                      {{"a", 0, 2, 1, accepted}, {"b", 1, 2, 1, change_verdict::unchanged}},
                      2,
                      "1"}),
    [](const auto& test) { return test.param.name; });

} // namespace
} // namespace damaskladder::control
