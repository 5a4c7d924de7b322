#include "daemon/message_counters.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace damaskladder::daemon {
namespace {

struct counter_case {
    const char* name;
    std::vector<std::pair<wire::message_kind, std::size_t>> sent;
    std::vector<wire::message_kind> dropped;
    std::string summary;
    std::string metrics;
};

std::string type_lines(const std::string& messages, const std::string& bytes,
                       const std::string& dropped)
{
    return "# TYPE damaskladder_messages_sent_total counter\n" + messages +
           "# TYPE damaskladder_message_bytes_sent_total counter\n" + bytes +
           "# TYPE damaskladder_messages_dropped_total counter\n" + dropped;
}

class counted_messages : public testing::TestWithParam<counter_case> {};

// Guards against control traffic whose cause cannot be told from the outside.
TEST_P(counted_messages, are_listed_by_kind)
{
    message_counters counters;
    for (const auto& [kind, bytes] : GetParam().sent) {
        counters.count(kind, bytes);
    }
    for (const auto kind : GetParam().dropped) {
        counters.count_dropped(kind);
    }
    EXPECT_EQ(counters.summary(), GetParam().summary);
    EXPECT_EQ(counters.metrics(), GetParam().metrics);
}

INSTANTIATE_TEST_SUITE_P(
    table, counted_messages,
    testing::Values(counter_case{"none", {}, {}, "", type_lines("", "", "")},
                    counter_case{
                        "two_kinds",
                        {{wire::message_kind::consensus, 10},
                         {wire::message_kind::lease, 7},
                         {wire::message_kind::consensus, 5}},
                        {wire::message_kind::consensus},
                        "consensus 2/15 1 dropped, lease 1/7",
                        type_lines("damaskladder_messages_sent_total{kind=\"consensus\"} 2\n"
                                   "damaskladder_messages_sent_total{kind=\"lease\"} 1\n",
                                   "damaskladder_message_bytes_sent_total"
                                   "{kind=\"consensus\"} 15\n"
                                   "damaskladder_message_bytes_sent_total"
                                   "{kind=\"lease\"} 7\n",
                                   "damaskladder_messages_dropped_total"
                                   "{kind=\"consensus\"} 1\n"
                                   "damaskladder_messages_dropped_total"
                                   "{kind=\"lease\"} 0\n")},
                    counter_case{"unknown_kind",
                                 {{wire::message_kind(200), 3}},
                                 {wire::message_kind(200)},
                                 "",
                                 type_lines("", "", "")}),
    [](const auto& test) { return std::string(test.param.name); });

} // namespace
} // namespace damaskladder::daemon
