#include "admission/shed_memory.hpp"
#include "admission/shed_meter.hpp"

#include <gtest/gtest.h>

#include <random>

namespace damaskladder::admission {
namespace {

using std::chrono::milliseconds;

const base::node_id gatekeeper("g1");

base::time_point at_ms(std::int64_t value)
{
    return base::time_point(milliseconds(value));
}

base::random_source seeded(std::uint64_t seed)
{
    return [random = std::mt19937_64(seed)]() mutable { return random(); };
}

struct memory_case {
    const char* name;
    std::optional<base::importance> heard;
    base::importance level;
    std::int64_t age_ms;
    /// Bounds of the part of 2,000 requests that is held back.
    double least;
    double most;
};

void PrintTo(const memory_case& row, std::ostream* out)
{
    *out << row.name;
}

class held_back : public testing::TestWithParam<memory_case> {};

// Guards against feedback that never ends, that stops the trickle, or that hits important calls.
TEST_P(held_back, follows_level_and_age)
{
    const auto& row = GetParam();
    int held = 0;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        shed_memory memory({}, seeded(seed));
        memory.heard(gatekeeper, row.heard, at_ms(0));
        for (int n = 0; n < 100; ++n) {
            held += memory.holds_back(gatekeeper, row.level, at_ms(row.age_ms)) ? 1 : 0;
        }
    }
    EXPECT_GE(held / 2'000.0, row.least);
    EXPECT_LE(held / 2'000.0, row.most);
}

constexpr auto low = base::importance::low;
constexpr auto normal = base::importance::normal;

INSTANTIATE_TEST_SUITE_P(
    table, held_back,
    testing::Values(memory_case{"nothing heard", std::nullopt, low, 0, 0, 0},
                    memory_case{"fresh", low, low, 10, 0.95, 0.995},
                    memory_case{"fresh, less important", normal, low, 10, 0.95, 0.995},
                    memory_case{"fresh, more important", low, normal, 10, 0, 0},
                    memory_case{"half returned", low, low, 600, 0.2, 0.8},
                    memory_case{"faded", low, low, 1'300, 0, 0}));

// Guards against load that returns as one wave: the held-back part falls in small steps over all
// entry nodes, not at one moment.
TEST(shed_memory, load_returns_evenly)
{
    double last = 1;
    for (std::int64_t age = 0; age <= 1'300; age += 50) {
        int held = 0;
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            shed_memory memory({}, seeded(seed));
            memory.heard(gatekeeper, low, at_ms(0));
            for (int n = 0; n < 20; ++n) {
                held += memory.holds_back(gatekeeper, low, at_ms(age)) ? 1 : 0;
            }
        }
        const double part = held / 4'000.0;
        EXPECT_GT(part, last - 0.2) << "at " << age << " ms";
        last = part;
    }
    EXPECT_EQ(last, 0);
}

struct meter_case {
    const char* name;
    int started;
    int shed;
    std::int64_t age_ms;
    std::optional<base::importance> level;
};

void PrintTo(const meter_case& row, std::ostream* out)
{
    *out << row.name;
}

class told_level : public testing::TestWithParam<meter_case> {};

// Guards against holding back a level that is shed only in part, which would leave slots idle.
TEST_P(told_level, is_the_highest_fully_shed)
{
    const auto& row = GetParam();
    shed_meter meter;
    for (int n = 0; n < row.started; ++n) {
        meter.started(low, at_ms(0));
    }
    for (int n = 0; n < row.shed; ++n) {
        meter.shed(low, at_ms(0));
    }
    EXPECT_EQ(meter.level(at_ms(row.age_ms)), row.level);
}

INSTANTIATE_TEST_SUITE_P(table, told_level,
                         testing::Values(meter_case{"quiet", 0, 0, 0, std::nullopt},
                                         meter_case{"all shed", 0, 10, 0, low},
                                         meter_case{"one burst", 0, 1, 0, std::nullopt},
                                         meter_case{"shed in part", 10, 100, 0, std::nullopt},
                                         meter_case{"nearly all shed", 1, 100, 0, low},
                                         meter_case{"over", 0, 10, 400, std::nullopt}));

} // namespace
} // namespace damaskladder::admission
