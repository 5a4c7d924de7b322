#include "control/claim_table.hpp"
#include "control/claim_time.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace damaskladder::control {
namespace {

using claim_command = std::variant<claim_request, release_claim, complete_claim>;

constexpr std::int64_t start = 1'000'000;

base::wall_time at(std::int64_t second)
{
    return base::wall_time(std::chrono::seconds(second));
}

claim_key key_of(std::int64_t second, const std::string& opaque = "x")
{
    return {base::workspace_id("w"), base::request_id(std::to_string(second) + "-" + opaque)};
}

claim_command claim(std::uint64_t attempt, const claim_key& key = key_of(start),
                    const char* content = "c")
{
    return claim_request{key, base::attempt_id(attempt), base::node_id("n"),
                         content_hash(digest_of(content))};
}

claim_command release(std::uint64_t attempt, const claim_key& key = key_of(start))
{
    return release_claim{key, base::attempt_id(attempt)};
}

claim_command complete(std::uint64_t attempt, const claim_key& key = key_of(start))
{
    return complete_claim{key, base::attempt_id(attempt)};
}

claim_verdict apply(claim_table& table, const claim_command& entry, base::wall_time now)
{
    return std::visit(
        [&](const auto& value) {
            auto expected = table.check(value, now);
            auto answer = table.apply(value, now);
            EXPECT_EQ(answer, expected) << "check() and apply() disagree";
            return answer.verdict;
        },
        entry);
}

struct claim_step {
    std::int64_t second;
    claim_command entry;
    claim_verdict verdict;
};

struct claim_case {
    const char* name;
    std::vector<claim_step> steps;
};

class claim_sequence : public testing::TestWithParam<claim_case> {};

// Guards against a request that could run twice and against a claim that no attempt can release, as
// when a release arrives before the claim request.
TEST_P(claim_sequence, gives_the_verdicts)
{
    state_options options;
    options.max_claims = 3;
    claim_table table(options);
    for (const auto& step : GetParam().steps) {
        EXPECT_EQ(apply(table, step.entry, at(step.second)), step.verdict)
            << "expected " << to_string(step.verdict);
    }
}

using enum claim_verdict;

INSTANTIATE_TEST_SUITE_P(
    table, claim_sequence,
    testing::Values(
        claim_case{
            "second_attempt_waits",
            {{start, claim(1), granted}, {start, claim(2), held}, {start, claim(1), granted}}},
        claim_case{"released_goes_to_next",
                   {{start, claim(1), granted},
                    {start, release(1), released},
                    {start, claim(2), granted},
                    {start, release(1), released},
                    {start, claim(3), held}}},
        claim_case{"late_claim_after_release",
                   {{start, claim(1), granted},
                    {start, release(1), released},
                    {start, claim(1), released},
                    {start, claim(2), granted}}},
        claim_case{"release_overtakes_claim",
                   {{start, release(1), released},
                    {start, claim(1), released},
                    {start, claim(2), granted}}},
        claim_case{"release_overtakes_claim_while_held",
                   {{start, claim(2), granted},
                    {start, release(1), not_held},
                    {start, release(2), released},
                    {start, claim(1), released}}},
        claim_case{
            "release_by_other_attempt",
            {{start, claim(1), granted}, {start, release(2), not_held}, {start, claim(3), held}}},
        claim_case{"done_stays_done",
                   {{start, claim(1), granted},
                    {start, complete(1), done},
                    {start, claim(2), done},
                    {start, claim(1), done},
                    {start, release(1), done},
                    {start, complete(1), done}}},
        claim_case{"complete_without_claim",
                   {{start, complete(1), not_held},
                    {start, claim(2), granted},
                    {start, complete(1), not_held},
                    {start, claim(3), held}}},
        claim_case{"other_content",
                   {{start, claim(1), granted},
                    {start, claim(2, key_of(start), "d"), other_content},
                    {start, release(1), released},
                    {start, claim(3, key_of(start), "d"), other_content}}},
        claim_case{"kept_until_retention",
                   {{start, claim(1), granted},
                    {start + 599, claim(2), held},
                    {start + 600, claim(2), too_old},
                    {start + 600, release(1), too_old}}},
        claim_case{"ahead",
                   {{start, claim(1, key_of(start + 120)), granted},
                    {start, claim(1, key_of(start + 121)), too_far_ahead}}},
        claim_case{"full_until_oldest_is_forgotten",
                   {{start, claim(1, key_of(start)), granted},
                    {start, claim(1, key_of(start + 1)), granted},
                    {start, claim(1, key_of(start + 2)), granted},
                    {start, claim(1, key_of(start + 3)), table_full},
                    {start, release(1, key_of(start + 3)), table_full},
                    {start, claim(2, key_of(start)), held},
                    {start + 600, claim(1, key_of(start + 3)), granted}}},
        claim_case{
            "long_names",
            {{start, claim(1, {base::workspace_id(std::string(50, 'w')), key_of(start).request}),
              malformed}}}),
    [](const auto& test) { return test.param.name; });

class malformed_claim_id : public testing::TestWithParam<std::string> {};

// An id without a valid time must be refused, since its age is unknown.
TEST_P(malformed_claim_id, is_refused)
{
    EXPECT_FALSE(parse_claim_time(base::request_id(GetParam())).has_value());
}

INSTANTIATE_TEST_SUITE_P(table, malformed_claim_id,
                         testing::Values("", "-", "-x", "1", "1-", "1x-a", " 1-a", "+1-a", "--1-a",
                                         "123456789012-a", "1-a b", "1-\n", "1-\xC3\xA9",
                                         "1-" + std::string(101, 'a')));

/// Reference model that derives each verdict from all previous commands.
class reference_claim_table {
public:
    claim_verdict apply(const claim_command& entry, std::int64_t now)
    {
        auto verdict =
            std::visit([&](const auto& value) { return expected_verdict(value, now); }, entry);
        m_steps.push_back({now, entry, verdict});
        return verdict;
    }

private:
    /// Attempt that was granted last and has not released since.
    std::optional<std::uint64_t> holder(const claim_key& key) const
    {
        std::optional<std::uint64_t> attempt;
        for (const auto& step : m_steps) {
            const auto* request_entry = std::get_if<claim_request>(&step.entry);
            if (request_entry != nullptr && request_entry->key == key && step.verdict == granted) {
                attempt = request_entry->attempt.value();
            }
            const auto* release_entry = std::get_if<release_claim>(&step.entry);
            if (release_entry != nullptr && release_entry->key == key &&
                attempt == release_entry->attempt.value() && step.verdict == released) {
                attempt.reset();
            }
        }
        return attempt;
    }
    bool is_done(const claim_key& key) const
    {
        for (const auto& step : m_steps) {
            const auto* request_entry = std::get_if<complete_claim>(&step.entry);
            if (request_entry != nullptr && request_entry->key == key && step.verdict == done) {
                return true;
            }
        }
        return false;
    }
    bool has_released(const claim_key& key, base::attempt_id attempt) const
    {
        for (const auto& step : m_steps) {
            const auto* release_entry = std::get_if<release_claim>(&step.entry);
            if (release_entry != nullptr && release_entry->key == key &&
                release_entry->attempt == attempt &&
                (step.verdict == released || step.verdict == not_held)) {
                return true;
            }
        }
        return false;
    }
    static std::optional<claim_verdict> expected_time_verdict(const claim_key& key,
                                                              std::int64_t now)
    {
        auto second = std::stoll(key.request.value());
        if (second + 600 <= now) {
            return too_old;
        }
        return second > now + 120 ? std::optional(too_far_ahead) : std::nullopt;
    }
    claim_verdict expected_verdict(const claim_request& request_entry, std::int64_t now) const
    {
        if (auto refused = expected_time_verdict(request_entry.key, now)) {
            return *refused;
        }
        if (is_done(request_entry.key)) {
            return done;
        }
        if (auto attempt = holder(request_entry.key)) {
            return *attempt == request_entry.attempt.value() ? granted : held;
        }
        return has_released(request_entry.key, request_entry.attempt) ? released : granted;
    }
    claim_verdict expected_verdict(const release_claim& request_entry, std::int64_t now) const
    {
        if (auto refused = expected_time_verdict(request_entry.key, now)) {
            return *refused;
        }
        auto attempt = holder(request_entry.key);
        if (has_released(request_entry.key, request_entry.attempt) || !attempt) {
            return released;
        }
        if (*attempt != request_entry.attempt.value()) {
            return not_held;
        }
        return is_done(request_entry.key) ? done : released;
    }
    claim_verdict expected_verdict(const complete_claim& request_entry, std::int64_t now) const
    {
        if (auto refused = expected_time_verdict(request_entry.key, now)) {
            return *refused;
        }
        return holder(request_entry.key) == request_entry.attempt.value() ? done : not_held;
    }

    std::vector<claim_step> m_steps;
};

// Compares the table's indexed state with the reference model, so that verdicts do not depend on
// insertion or expiry order: 300 random schedules of 60 commands with jumps in log time.
TEST(claim_table, agrees_with_a_scan_of_all_commands)
{
    std::mt19937_64 random(23);
    for (int schedule = 0; schedule < 300; ++schedule) {
        claim_table table(state_options{});
        reference_claim_table reference;
        auto now = start;
        for (int i = 0; i < 60; ++i) {
            now += random() % 10 == 0 ? static_cast<std::int64_t>(random() % 400) : 0;
            auto key = key_of(start + static_cast<std::int64_t>(random() % 3) * 100);
            auto attempt = 1 + random() % 4;
            auto entry = random() % 2 == 0   ? claim(attempt, key)
                         : random() % 3 == 0 ? complete(attempt, key)
                                             : release(attempt, key);
            auto expected = reference.apply(entry, now);
            ASSERT_EQ(apply(table, entry, at(now)), expected)
                << "schedule " << schedule << " step " << i << " " << to_string(expected);
        }
    }
}

} // namespace
} // namespace damaskladder::control
