#include "node/pipeline_order.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::node {
namespace {

/// A connection: 'r' is a repeatable request, 'o' one that must not run twice, '-' one that has
/// ended. The first letter is exchange 1.
struct order_case {
    std::string name;
    std::string connection;
    /// Whether each request would have to wait when it arrives: 'w' or '.'.
    std::string waits;
    /// Numbers of the requests that may start at the turn of the first.
    std::string startable;
};

void PrintTo(const order_case& row, std::ostream* out)
{
    *out << row.name;
}

class pipeline_orders : public testing::TestWithParam<order_case> {};

// Guards against a second run of a request that the caller repeats after a closed connection, and
// against requests that wait although nothing forbids them to start.
TEST_P(pipeline_orders, decide_by_what_is_ahead)
{
    const auto& row = GetParam();
    const pipeline_order order([&](exchange_id id) -> std::optional<run_rule> {
        switch (row.connection.at(id.value() - 1)) {
        case 'r':
            return run_rule::repeatable;
        case 'o':
            return run_rule::once;
        default:
            return std::nullopt;
        }
    });
    std::vector<exchange_id> ids;
    std::string waits;
    for (std::size_t n = 0; n < row.connection.size(); ++n) {
        const auto rule = row.connection[n] == 'o' ? run_rule::once : run_rule::repeatable;
        waits += order.must_wait(rule, ids) ? 'w' : '.';
        ids.emplace_back(n + 1);
    }
    EXPECT_EQ(waits, row.waits);
    std::string startable;
    for (const auto id : order.startable(ids.front(), {ids.begin() + 1, ids.end()})) {
        startable += std::to_string(id.value());
    }
    EXPECT_EQ(startable, row.startable);
}

INSTANTIATE_TEST_SUITE_P(table, pipeline_orders,
                         testing::Values(order_case{"alone", "r", ".", "1"},
                                         order_case{"alone_once", "o", ".", "1"},
                                         order_case{"repeatable", "rrr", "...", "123"},
                                         order_case{"once_behind", "rro", "..w", "12"},
                                         order_case{"behind_once", "orr", ".ww", "1"},
                                         order_case{"once_between", "rorr", ".www", "1"},
                                         order_case{"only_once", "ooo", ".ww", "1"},
                                         order_case{"ended_between", "r-r", "...", "13"},
                                         order_case{"once_behind_ended", "-o", ".w", "1"},
                                         order_case{"ended_at_its_turn", "-rr", "...", "123"}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::node
