#include "admission/fair_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace damaskladder::admission {
namespace {

call_request make_request(std::uint64_t id, int workspace, int weight)
{
    call_request request;
    request.id = ticket(id);
    request.workspace = base::workspace_id("w" + std::to_string(workspace));
    request.weight = base::share_weight(weight);
    request.deadline = base::time_point(std::chrono::seconds(1));
    return request;
}

struct share_case {
    std::vector<int> weights;
    std::vector<int> offered;
    int pops;
    std::vector<int> served;
};

class fair_shares : public testing::TestWithParam<share_case> {};

// Guards against a large sender that takes the share of others, and against shares that deviate
// from the weights.
TEST_P(fair_shares, follow_weights)
{
    const auto& expected = GetParam();
    fair_queue queue;
    std::uint64_t id = 0;
    std::map<std::uint64_t, std::size_t> sender_of;
    for (std::size_t w = 0; w < expected.weights.size(); ++w) {
        for (int n = 0; n < expected.offered[w]; ++n) {
            sender_of[++id] = w;
            queue.push(make_request(id, static_cast<int>(w), expected.weights[w]), {});
        }
    }
    std::vector<int> served(expected.weights.size(), 0);
    for (int turn = 0; turn < expected.pops; ++turn) {
        auto call = queue.pop(true);
        ASSERT_TRUE(call);
        ++served[sender_of[call->id.value()]];
    }
    EXPECT_EQ(served, expected.served);
}

INSTANTIATE_TEST_SUITE_P(table, fair_shares,
                         testing::Values(share_case{{1, 1}, {100, 10}, 20, {10, 10}},
                                         share_case{{1, 1}, {100, 5}, 20, {15, 5}},
                                         share_case{{3, 1}, {100, 100}, 40, {30, 10}},
                                         share_case{{1, 1, 2}, {50, 50, 50}, 40, {10, 10, 20}},
                                         share_case{{1}, {7}, 7, {7}}));

/// Reference implementation of start-time fair queueing: scans every call at every step.
class reference_queue {
public:
    void push(const call_request& request)
    {
        if (!has_calls(request.workspace)) {
            m_start_tags[request.workspace] =
                std::max(m_start_tags[request.workspace], m_virtual_time);
        }
        m_calls.push_back(request);
    }

    std::optional<ticket> pop()
    {
        if (m_calls.empty()) {
            return std::nullopt;
        }
        auto next = std::min_element(m_calls.begin(), m_calls.end(),
                                     [&](const call_request& a, const call_request& b) {
                                         return std::pair(m_start_tags[a.workspace], a.workspace) <
                                                std::pair(m_start_tags[b.workspace], b.workspace);
                                     });
        const call_request call = *next;
        m_virtual_time = std::max(m_virtual_time, m_start_tags[call.workspace]);
        m_start_tags[call.workspace] += 1.0 / call.weight.value();
        remove(next);
        return call.id;
    }

    bool erase(ticket id)
    {
        auto found = std::find_if(m_calls.begin(), m_calls.end(),
                                  [&](const call_request& call) { return call.id == id; });
        if (found == m_calls.end()) {
            return false;
        }
        remove(found);
        return true;
    }

    std::size_t size() const { return m_calls.size(); }
    call_request nth(std::size_t n) const { return m_calls.at(n); }

private:
    bool has_calls(const base::workspace_id& workspace) const
    {
        return std::any_of(m_calls.begin(), m_calls.end(),
                           [&](const call_request& call) { return call.workspace == workspace; });
    }

    void remove(std::vector<call_request>::iterator call)
    {
        m_calls.erase(call);
        if (m_calls.empty()) {
            m_start_tags.clear();
            m_virtual_time = 0;
        }
    }

    std::vector<call_request> m_calls;
    std::map<base::workspace_id, double> m_start_tags;
    double m_virtual_time = 0;
};

class fair_queue_schedules : public testing::TestWithParam<int> {};

// Guards against errors in the incremental state: 400 seeded schedules of 300 steps must give the
// same order as the reference implementation.
TEST_P(fair_queue_schedules, match_reference)
{
    for (int schedule = 0; schedule < 100; ++schedule) {
        std::mt19937_64 random(static_cast<std::uint64_t>(GetParam() * 100 + schedule));
        fair_queue queue;
        reference_queue reference;
        std::uint64_t id = 0;
        for (int step = 0; step < 300; ++step) {
            const auto kind = random() % 10;
            if (kind < 5) {
                const int workspace = static_cast<int>(random() % 6);
                const auto request = make_request(++id, workspace, 1 << (workspace % 3));
                queue.push(request, {});
                reference.push(request);
            }
            else if (kind < 9 || reference.size() == 0) {
                const auto call = queue.pop(true);
                EXPECT_EQ(call ? std::optional(call->id) : std::nullopt, reference.pop());
            }
            else {
                const auto victim = reference.nth(random() % reference.size());
                EXPECT_TRUE(queue.erase(victim.workspace, victim.id));
                EXPECT_TRUE(reference.erase(victim.id));
                EXPECT_FALSE(queue.erase(victim.workspace, victim.id));
            }
            ASSERT_EQ(queue.size(), static_cast<std::int64_t>(reference.size()));
        }
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, fair_queue_schedules, testing::Values(1, 2, 3, 4));

// Guards against evicting calls of a small sender, or an older call before a newer one.
TEST(fair_queue, evicts_newest_call_of_largest_sender_by_weight)
{
    fair_queue queue;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        queue.push(make_request(id, 0, 4), {});
    }
    for (std::uint64_t id = 11; id <= 12; ++id) {
        queue.push(make_request(id, 1, 1), {});
    }
    EXPECT_EQ(queue.evict()->id, ticket(12));
    EXPECT_EQ(queue.evict()->id, ticket(6));
}

} // namespace
} // namespace damaskladder::admission
