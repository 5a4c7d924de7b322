#include "quota/node_bucket.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace damaskladder::quota {
namespace {

using std::chrono::milliseconds;

const workspace_quota quota{base::workspace_id("w"), token_rate(100 * one_token.value()),
                            one_token * 100};

base::time_point at(int ms)
{
    return base::time_point(milliseconds(ms));
}

/// A bucket that received its first request, call 1, and sent its first line at 0 ms.
class bucket_fixture {
public:
    bucket_fixture() : bucket({}, quota, at(0))
    {
        take(1, 0);
        first = bucket.make_line(at(0));
    }

    take_verdict take(std::uint64_t call, int ms)
    {
        return bucket.take(base::call_id(call), at(ms + 500), at(ms)).verdict;
    }

    /// Delivers an answer to the first line.
    void lend(int total, int ms, int valid_ms = 3'000)
    {
        bucket.on_lend({quota.workspace, first.session, first.sequence, one_token * total,
                        milliseconds(valid_ms), milliseconds(30)},
                       at(ms), endings);
    }

    int balance(int ms) const
    {
        return static_cast<int>(bucket.balance(at(ms)).value() / one_token.value());
    }

    /// How the wait of a call ended: 1 with a token, 0 refused, -1 still waiting.
    int ended(std::uint64_t call) const
    {
        for (const auto& ending : endings) {
            if (ending.call == base::call_id(call)) {
                return ending.answer.verdict == take_verdict::taken ? 1 : 0;
            }
        }
        return -1;
    }

    bool return_token(std::uint64_t call, int ms)
    {
        return bucket.return_token(base::call_id(call), at(ms), endings) ==
               return_verdict::returned;
    }

    node_bucket bucket;
    borrow_line first;
    wait_endings endings;
};

struct bucket_case {
    std::string name;
    std::function<int(bucket_fixture&)> act;
    int expected;
};

class bucket_faults : public testing::TestWithParam<bucket_case> {};

TEST_P(bucket_faults, give_the_expected_value)
{
    bucket_fixture fixture;
    EXPECT_EQ(GetParam().act(fixture), GetParam().expected);
}

using f = bucket_fixture;

INSTANTIATE_TEST_SUITE_P(
    table, bucket_faults,
    testing::Values(
        // Guards against refusing a request before asking the holder.
        bucket_case{"asks_before_refusing",
                    [](f& x) {
                        return static_cast<int>(x.first.demand.value() / one_token.value()) * 10 +
                               x.ended(1);
                    },
                    9},
        bucket_case{"answer_ends_wait",
                    [](f& x) {
                        x.lend(1, 1);
                        return x.ended(1);
                    },
                    1},
        bucket_case{"empty_answer_refuses",
                    [](f& x) {
                        x.lend(0, 1);
                        return x.ended(1);
                    },
                    0},
        // Guards against refusing a request that arrived after the answered line was sent.
        bucket_case{"later_request_asks_again",
                    [](f& x) {
                        x.take(2, 1);
                        x.lend(1, 2);
                        return x.ended(2) * 10 + (x.bucket.due(at(2)) ? 1 : 0);
                    },
                    -9},
        bucket_case{"no_answer_refuses",
                    [](f& x) {
                        x.bucket.on_time(at(100), x.endings);
                        return x.ended(1);
                    },
                    0},
        bucket_case{
            "asks_again_without_answer",
            [](f& x) { return (x.bucket.due(at(59)) ? 10 : 0) + (x.bucket.due(at(60)) ? 1 : 0); },
            1},
        // Guards against counting a duplicate answer.
        bucket_case{"repeated_answer",
                    [](f& x) {
                        x.lend(3, 1);
                        x.lend(3, 2);
                        return x.balance(2);
                    },
                    2},
        // Guards against using tokens after the end of the holder's lease.
        bucket_case{"tokens_expire",
                    [](f& x) {
                        x.lend(3, 1, 1'000);
                        return x.balance(997) * 10 + x.balance(998);
                    },
                    20},
        bucket_case{"late_answer",
                    [](f& x) {
                        x.lend(3, 1'000, 1'000);
                        return x.balance(1'000);
                    },
                    0},
        bucket_case{"answer_of_other_session",
                    [](f& x) {
                        x.bucket.reset();
                        x.lend(3, 1);
                        return x.balance(1);
                    },
                    0},
        // Guards against returning a token more than once.
        bucket_case{"gives_back_once",
                    [](f& x) {
                        x.lend(3, 1);
                        const bool once = x.return_token(1, 2);
                        const bool twice = x.return_token(1, 3);
                        return x.balance(3) * 100 + (once ? 10 : 0) + (twice ? 1 : 0);
                    },
                    310},
        bucket_case{"settled_call_gives_nothing_back",
                    [](f& x) {
                        x.lend(3, 1);
                        x.bucket.settle(base::call_id(1));
                        return x.return_token(1, 2) ? 1 : 0;
                    },
                    0},
        // Guards against reusing a returned token locally after its use was reported: the holder
        // decides whether to credit it.
        bucket_case{"reported_use_goes_to_the_holder",
                    [](f& x) {
                        x.lend(3, 1);
                        x.bucket.make_line(at(2));
                        x.return_token(1, 3);
                        const auto line = x.bucket.make_line(at(4));
                        return x.balance(4) * 100 +
                               static_cast<int>(line.refund_since.value()) * 10 +
                               static_cast<int>(line.refunded_total.value() / one_token.value());
                    },
                    221},
        // Guards against a returned token that stays unused while another request waits.
        bucket_case{"given_back_token_serves_a_wait",
                    [](f& x) {
                        x.lend(1, 1);
                        x.take(2, 2);
                        x.return_token(1, 3);
                        return x.ended(2);
                    },
                    1},
        // Guards against an idle node that keeps tokens other nodes could use.
        bucket_case{"idle_tokens_go_back",
                    [](f& x) {
                        x.lend(3, 1);
                        const bool due = x.bucket.due(at(401));
                        const auto line = x.bucket.make_line(at(401));
                        return (due ? 100 : 0) + x.balance(401) * 10 +
                               static_cast<int>(line.returned_total.value() / one_token.value());
                    },
                    102},
        // Guards against asking the holder for each refused request: an answer without tokens
        // applies for its retry time.
        bucket_case{"refuses_for_the_time_named",
                    [](f& x) {
                        x.lend(0, 1);
                        const auto early = x.take(2, 30);
                        const auto later = x.take(3, 31);
                        return (early == take_verdict::refused ? 10 : 0) +
                               (later == take_verdict::wait ? 1 : 0);
                    },
                    11}),
    [](const auto& param) { return param.param.name; });

} // namespace
} // namespace damaskladder::quota
