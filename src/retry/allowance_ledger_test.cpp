#include "retry/allowance_ledger.hpp"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace damaskladder::retry {
namespace {

constexpr base::call_id root(1);

enum class step_kind { delegate, delegate_all_but_one, return_unused, forfeit, spend, close };

struct step {
    step_kind kind;
    std::uint64_t onward = 0;
    int amount = 0;
    /// Return value of the step, or the remaining allowance after steps without one.
    int expected = 0;
};

struct ledger_case {
    const char* name;
    int allowance;
    std::vector<step> steps;
};

void PrintTo(const ledger_case& row, std::ostream* out)
{
    *out << row.name;
}

int perform(allowance_ledger& ledger, const step& next)
{
    const base::call_id onward(next.onward);
    switch (next.kind) {
    case step_kind::delegate:
        return ledger.delegate(root, onward).value();
    case step_kind::delegate_all_but_one:
        return ledger.delegate_all_but(root, onward, base::retry_count(1)).value();
    case step_kind::return_unused:
        ledger.return_unused(root, onward, base::retry_count(next.amount));
        return ledger.remaining(root).value();
    case step_kind::forfeit:
        ledger.forfeit(root, onward);
        return ledger.remaining(root).value();
    case step_kind::spend:
        return ledger.spend(root) ? 1 : 0;
    case step_kind::close:
        return ledger.close(root).value();
    }
    return -1;
}

class ledger_scenarios : public testing::TestWithParam<ledger_case> {};

// Guards against delegated allowance that is returned twice, above the delegated amount, after the
// call was closed, or not at all.
TEST_P(ledger_scenarios, account_for_every_extra_attempt)
{
    allowance_ledger ledger;
    ledger.open(root, base::retry_count(GetParam().allowance));
    int index = 0;
    for (const auto& next : GetParam().steps) {
        EXPECT_EQ(perform(ledger, next), next.expected) << "step " << index;
        ++index;
    }
}

using kind = step_kind;

INSTANTIATE_TEST_SUITE_P(
    table, ledger_scenarios,
    testing::Values(
        ledger_case{
            "returned in full", 3, {{kind::delegate, 2, 0, 2}, {kind::return_unused, 2, 2, 3}}},
        ledger_case{
            "parallel onward calls share",
            3,
            {{kind::delegate, 2, 0, 2}, {kind::delegate, 3, 0, 1}, {kind::delegate, 4, 0, 0}}},
        ledger_case{"returned once",
                    3,
                    {{kind::delegate, 2, 0, 2},
                     {kind::return_unused, 2, 1, 2},
                     {kind::return_unused, 2, 1, 2}}},
        ledger_case{"returned more than delegated",
                    3,
                    {{kind::delegate, 2, 0, 2}, {kind::return_unused, 2, 9, 3}}},
        ledger_case{
            "negative return", 3, {{kind::delegate, 2, 0, 2}, {kind::return_unused, 2, -5, 1}}},
        ledger_case{
            "lost answer is spent",
            3,
            {{kind::delegate, 2, 0, 2}, {kind::forfeit, 2, 0, 1}, {kind::return_unused, 2, 2, 1}}},
        ledger_case{"one delegation per attempt",
                    3,
                    {{kind::delegate, 2, 0, 2}, {kind::delegate, 2, 0, 0}}},
        ledger_case{"closed with an outstanding delegation",
                    3,
                    {{kind::delegate, 2, 0, 2},
                     {kind::close, 0, 0, 1},
                     {kind::return_unused, 2, 2, 0},
                     {kind::delegate, 3, 0, 0}}},
        ledger_case{
            "one reserved", 3, {{kind::delegate_all_but_one, 2, 0, 2}, {kind::spend, 0, 0, 1}}},
        ledger_case{"nothing to spend", 0, {{kind::spend, 0, 0, 0}, {kind::delegate, 2, 0, 0}}}));

/// Simulates a random call tree with failed attempts and with lost, duplicate, late and exaggerated
/// answers, and counts the extra attempts.
class random_tree {
public:
    explicit random_tree(std::uint64_t seed) : m_random(seed) {}

    int run(int allowance, bool no_failures)
    {
        m_no_failures = no_failures;
        m_unused = run_call(base::call_id(++m_last_call), allowance, 0);
        return m_extra_attempts;
    }

    int unused() const { return m_unused; }

private:
    struct onward_call {
        base::call_id attempt;
        base::retry_count delegated;
    };

    int run_call(base::call_id call, int delegated, int depth)
    {
        m_ledger.open(call, base::retry_count(delegated));
        std::vector<onward_call> running;
        const auto onward_calls = depth < 6 ? m_random() % 4 : 0;
        for (std::uint64_t n = 0; n < onward_calls; ++n) {
            running.push_back(start(call));
            while (!running.empty() && m_random() % 2 == 0) {
                end_one(call, running, depth);
            }
        }
        while (!running.empty() && (m_no_failures || m_random() % 8 != 0)) {
            end_one(call, running, depth);
        }
        return m_ledger.close(call).value();
    }

    onward_call start(base::call_id call)
    {
        const base::call_id attempt(++m_last_call);
        const auto delegated = m_random() % 2 == 0
                                   ? m_ledger.delegate(call, attempt)
                                   : m_ledger.delegate_all_but(call, attempt, base::retry_count(1));
        return {attempt, delegated};
    }

    void end_one(base::call_id call, std::vector<onward_call>& running, int depth)
    {
        const auto chosen =
            running.begin() + static_cast<std::int64_t>(m_random() % running.size());
        const onward_call ended = *chosen;
        running.erase(chosen);
        const int unused = run_call(ended.attempt, ended.delegated.value(), depth + 1);
        const auto outcome = m_no_failures ? 9 : m_random() % 10;
        if (outcome < 2) {
            m_ledger.forfeit(call, ended.attempt);
        }
        else {
            m_ledger.return_unused(call, ended.attempt, base::retry_count(unused));
        }
        if (outcome == 3 || outcome == 1) {
            m_ledger.return_unused(call, ended.attempt, base::retry_count(unused + 5));
        }
        if (outcome < 6 && m_ledger.spend(call)) {
            ++m_extra_attempts;
            running.push_back(start(call));
        }
    }

    std::mt19937_64 m_random;
    allowance_ledger m_ledger;
    std::uint64_t m_last_call = 0;
    int m_extra_attempts = 0;
    int m_unused = 0;
    bool m_no_failures = false;
};

class call_trees : public testing::TestWithParam<int> {};

// Guards against retry amplification per level, over 4,000 seeded call trees up to 7 levels deep.
TEST_P(call_trees, never_exceed_the_allowance)
{
    const int allowance = GetParam();
    int max_extra = 0;
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        random_tree tree(seed);
        const int extra = tree.run(allowance, false);
        ASSERT_LE(extra, allowance) << "seed " << seed;
        ASSERT_LE(extra + tree.unused(), allowance) << "seed " << seed;
        max_extra = std::max(max_extra, extra);
    }
    EXPECT_EQ(max_extra, allowance)
        << "no seed used the whole allowance, so the bound was not tested";
}

// Guards against an allowance that decreases although no attempt failed.
TEST_P(call_trees, keep_allowance_without_failures)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        random_tree tree(seed);
        EXPECT_EQ(tree.run(GetParam(), true), 0);
        ASSERT_EQ(tree.unused(), GetParam()) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(allowances, call_trees, testing::Values(0, 1, 3, 8));

} // namespace
} // namespace damaskladder::retry
