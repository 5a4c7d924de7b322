#include "routing/domain_spill.hpp"

#include <gtest/gtest.h>

namespace damaskladder::routing {
namespace {

using std::chrono::milliseconds;

struct spill_case {
    const char* name;
    domain_load own;
    domain_load others;
    /// Leaving part at the start, and bounds after one second of the same load.
    bool starts_outside;
    double min_leaving;
    double max_leaving;
};

void PrintTo(const spill_case& row, std::ostream* out)
{
    *out << row.name;
}

class spills : public testing::TestWithParam<spill_case> {};

constexpr base::duration run_time = milliseconds(100);
const domain_load idle{2, 1.0, 10, 80};
const domain_load full{2, 1.4, 102, 0};
const domain_load none{};
const domain_load unknown{2, std::nullopt, 0, 0};

// Guards against traffic that leaves without a gain, that stays although leaving pays, or that
// exceeds what the other domains can take.
TEST_P(spills, follow_gain_and_room)
{
    const auto& row = GetParam();
    domain_spill spill{domain_spill_options()};
    base::time_point now{};
    spill.update(row.starts_outside ? none : idle, idle, run_time, now);
    for (int n = 0; n < 20; ++n) {
        now += milliseconds(50);
        ASSERT_TRUE(spill.due(now));
        spill.update(row.own, row.others, run_time, now);
        EXPECT_FALSE(spill.due(now));
    }
    EXPECT_GE(spill.leaving(), row.min_leaving);
    EXPECT_LE(spill.leaving(), row.max_leaving);
}

INSTANTIATE_TEST_SUITE_P(
    table, spills,
    testing::Values(spill_case{"both idle", idle, idle, false, 0, 0},
                    spill_case{"both full", full, full, false, 0, 0},
                    spill_case{"own full", full, idle, false, 0.5, 1},
                    spill_case{"own full, others less full", full, {2, 1.35, 98, 0}, false, 0, 0},
                    spill_case{"gain below crossing cost", {2, 1.08, 80, 10}, idle, false, 0, 0},
                    spill_case{"others have little room", full, {2, 1.0, 80, 4}, false, 0.1, 0.2},
                    spill_case{"others have no room", full, {2, 1.0, 90, 0}, false, 0, 0},
                    spill_case{"others are unknown", full, unknown, false, 0, 0},
                    spill_case{"no server in own domain", none, idle, false, 1, 1},
                    spill_case{"no server anywhere else", full, none, false, 0, 0},
                    spill_case{"no server at all", none, none, true, 0, 0},
                    spill_case{"own servers return", idle, idle, true, 0.1, 0.7},
                    spill_case{"between the limits", {2, 1.08, 80, 10}, idle, true, 0.9, 1}));

// Guards against nodes that never learn of free servers elsewhere, and against constant traffic
// between domains that are all full.
TEST(domain_spill, probes_unknown_domains_rarely)
{
    domain_spill spill{domain_spill_options()};
    base::time_point now{};
    int probes = 0;
    for (int n = 0; n < 200; ++n) {
        now += milliseconds(50);
        // The report of a probe stays known for 2 s.
        const bool known = n % 60 > 20;
        spill.update(full, known ? full : unknown, run_time, now);
        probes += spill.take_probe(now) ? 1 : 0;
    }
    EXPECT_GE(probes, 4);
    EXPECT_LE(probes, 20);
}

// Guards against the whole traffic moving at once after a pause in the requests.
TEST(domain_spill, moves_little_after_pause)
{
    domain_spill spill{domain_spill_options()};
    spill.update(idle, idle, run_time, base::time_point{});
    spill.update(full, idle, run_time, base::time_point(std::chrono::minutes(1)));
    EXPECT_LE(spill.leaving(), 0.2);
}

} // namespace
} // namespace damaskladder::routing
