#include "consensus/persist_tracker.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

namespace damaskladder::consensus {
namespace {

struct tracker_case {
    const char* name;
    std::function<void(persist_tracker&)> writes;
    std::uint64_t completed;
    std::uint64_t synced_index;
};

void PrintTo(const tracker_case& value, std::ostream* out)
{
    *out << value.name;
}

class tracked_writes : public testing::TestWithParam<tracker_case> {};

// Guards against entries that count as durable although they were replaced or are not synced yet.
TEST_P(tracked_writes, are_durable_up_to)
{
    persist_tracker tracker(log_index(4));
    GetParam().writes(tracker);
    tracker.complete(persist_token(GetParam().completed));
    EXPECT_EQ(tracker.synced_index(), log_index(GetParam().synced_index));
}

void entries(persist_tracker& tracker, std::uint64_t first, std::uint64_t last)
{
    tracker.issue_entries(log_index(first), log_index(last));
}

INSTANTIATE_TEST_SUITE_P(
    table, tracked_writes,
    testing::Values(tracker_case{"nothing_synced",
                                 [](persist_tracker& tracker) { entries(tracker, 5, 9); }, 0, 4},
                    tracker_case{"all_synced",
                                 [](persist_tracker& tracker) { entries(tracker, 5, 9); }, 1, 9},
                    tracker_case{"vote_between",
                                 [](persist_tracker& tracker) {
                                     entries(tracker, 5, 6);
                                     tracker.issue();
                                     entries(tracker, 7, 8);
                                 },
                                 2, 6},
                    tracker_case{"synced_entries_replaced",
                                 [](persist_tracker& tracker) { entries(tracker, 3, 3); }, 0, 2},
                    tracker_case{"unsynced_entries_replaced",
                                 [](persist_tracker& tracker) {
                                     entries(tracker, 5, 9);
                                     entries(tracker, 6, 7);
                                 },
                                 1, 5},
                    tracker_case{"replacement_synced",
                                 [](persist_tracker& tracker) {
                                     entries(tracker, 5, 9);
                                     entries(tracker, 6, 7);
                                 },
                                 2, 7},
                    tracker_case{"snapshot_of_the_leader",
                                 [](persist_tracker& tracker) {
                                     entries(tracker, 5, 9);
                                     tracker.discard_after(log_index(2));
                                     tracker.issue_snapshot(log_index(20));
                                 },
                                 1, 2},
                    tracker_case{"token_never_issued",
                                 [](persist_tracker& tracker) { entries(tracker, 5, 9); }, 7, 4}),
    [](const auto& each) { return std::string(each.param.name); });

} // namespace
} // namespace damaskladder::consensus
