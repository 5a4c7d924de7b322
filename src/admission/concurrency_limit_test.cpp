#include "admission/concurrency_limit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <queue>
#include <random>

namespace damaskladder::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct limit_case {
    const char* name;
    /// Slots that the backend server announces, and calls that it can really run concurrently.
    int announced;
    int capacity;
    bool cold;
    /// Part of the time in which all slots are wanted, before the measured phase.
    bool starts_idle;
    /// Multiplies the service time in the measured phase.
    double service_time_factor;
    int min_limit;
    int max_limit;
};

void PrintTo(const limit_case& row, std::ostream* out)
{
    *out << row.name;
}

/// Model of a backend server that runs `capacity` calls concurrently and queues the others
/// internally.
class latency_model {
public:
    latency_model(int capacity, std::uint64_t seed) : m_capacity(capacity), m_random(seed) {}

    base::duration latency(std::int64_t running, double service_time_factor)
    {
        const double contention = std::max(1.0, static_cast<double>(running) / m_capacity);
        std::gamma_distribution<double> service(4.0, 20'000.0 / 4.0);
        return base::duration(
            static_cast<std::int64_t>(service(m_random) * contention * service_time_factor));
    }

private:
    double m_capacity;
    std::mt19937_64 m_random;
};

/// Keeps `demand` calls running for `length`, as far as the limit permits.
void run_load(concurrency_limit& limit, latency_model& server, std::int64_t demand,
              double service_time_factor, base::duration length, base::time_point& now)
{
    using finish = std::pair<base::time_point, base::duration>;
    std::priority_queue<finish, std::vector<finish>, std::greater<>> running;
    const auto end = now + length;
    while (now < end) {
        while (static_cast<std::int64_t>(running.size()) <
               std::min(demand, limit.current().value())) {
            const auto service_time =
                server.latency(static_cast<std::int64_t>(running.size()) + 1, service_time_factor);
            running.emplace(now + service_time, service_time);
        }
        const auto [at, service_time] = running.top();
        const base::slot_count in_use(static_cast<std::int64_t>(running.size()));
        running.pop();
        now = std::max(now, at);
        limit.on_finished(call_outcome::served, service_time, in_use, now);
    }
}

class limit_adjustment : public testing::TestWithParam<limit_case> {};

// Guards against relying on wrong announced slots, and against a slower backend server that drives
// the limit down to its minimum.
TEST_P(limit_adjustment, converges_to_capacity)
{
    const auto& row = GetParam();
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        concurrency_limit limit{limit_options{}};
        latency_model server(row.capacity, seed);
        base::time_point now{};
        limit.announce(base::slot_count(row.announced), row.cold, now);
        if (row.starts_idle) {
            run_load(limit, server, row.capacity / 2, 1.0, seconds(2), now);
        }
        run_load(limit, server, 1'000, row.service_time_factor, seconds(20), now);
        EXPECT_GE(limit.current().value(), row.min_limit) << row.name << " seed " << seed;
        EXPECT_LE(limit.current().value(), row.max_limit) << row.name << " seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, limit_adjustment,
    testing::Values(limit_case{"true", 40, 40, false, true, 1.0, 36, 56},
                    limit_case{"announced too many", 160, 40, false, true, 1.0, 36, 60},
                    limit_case{"announced too few", 20, 40, false, true, 1.0, 36, 40},
                    limit_case{"cold", 40, 40, true, false, 1.0, 36, 56},
                    limit_case{"ten times slower", 40, 40, false, true, 10.0, 28, 56}));

// Guards against a cold backend server that gets calls for all of its slots immediately.
TEST(concurrency_limit, cold_start_begins_low)
{
    concurrency_limit limit{limit_options{}};
    limit.announce(base::slot_count(40), true, {});
    EXPECT_EQ(limit.current(), base::slot_count(4));
}

// Guards against a limit that stays high while the backend server sheds load, or drops below 1.
TEST(concurrency_limit, overloaded_outcomes_reduce_limit_to_minimum)
{
    concurrency_limit limit{limit_options{}};
    base::time_point now{};
    limit.announce(base::slot_count(40), false, now);
    for (int n = 0; n < 1'000; ++n) {
        now += milliseconds(10);
        limit.on_finished(call_outcome::overloaded, milliseconds(1), limit.current(), now);
    }
    EXPECT_EQ(limit.current(), base::slot_count(4));
}

// Guards against lease renewals that reset the adjusted limit to the announced slots.
TEST(concurrency_limit, renewal_preserves_adjusted_limit)
{
    concurrency_limit limit{limit_options{}};
    base::time_point now{};
    limit.announce(base::slot_count(40), false, now);
    for (int n = 0; n < 200; ++n) {
        now += milliseconds(10);
        limit.on_finished(call_outcome::overloaded, milliseconds(1), limit.current(), now);
    }
    const auto adjusted = limit.current();
    ASSERT_LT(adjusted, base::slot_count(40));
    limit.announce(base::slot_count(40), false, now);
    EXPECT_EQ(limit.current(), adjusted);
}

} // namespace
} // namespace damaskladder::admission
