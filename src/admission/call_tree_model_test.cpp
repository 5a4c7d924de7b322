#include "admission/call_tree_model.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace damaskladder::admission {
namespace {

/// When a run makes its calls.
enum class call_pattern { one_after_another, all_at_the_start };

struct route_load {
    const char* route;
    double runs_per_second;
    double run_seconds;
    /// Called route, empty if none, and calls per run.
    const char* downstream;
    int calls;
    call_pattern pattern = call_pattern::one_after_another;
};

struct model_case {
    const char* name;
    std::vector<route_load> routes;
    /// Calls of r3 per second that no run makes.
    double stray_calls;
    /// Whether calls name their parent.
    bool named;
    /// Time by which the links must be complete.
    int learned_by_s;
};

void PrintTo(const model_case& row, std::ostream* out)
{
    *out << row.name;
}

using event_list = std::multimap<double, std::function<void(base::time_point)>>;

base::time_point at(double seconds)
{
    return base::time_point(base::duration(static_cast<std::int64_t>(seconds * 1e6)));
}

constexpr double length_s = 120;

/// Schedules Poisson arrivals of runs of a route, and their calls.
void schedule(const route_load& load, bool named, call_tree_model& model, std::mt19937_64& random,
              event_list& events)
{
    std::exponential_distribution<double> gap(load.runs_per_second);
    std::uniform_real_distribution<double> length(0.7 * load.run_seconds, 1.3 * load.run_seconds);
    const base::route_id route(load.route);
    const base::route_id downstream(load.downstream);
    for (double begin = gap(random); begin < length_s; begin += gap(random)) {
        const double lasting = length(random);
        events.emplace(begin, [&model, route](auto now) { model.run_started(route, now); });
        for (int call = 0; call < load.calls; ++call) {
            const bool spread = load.pattern == call_pattern::one_after_another;
            const double offset = spread ? lasting * call / load.calls : 0.005;
            events.emplace(begin + offset, [&model, route, downstream, named](auto now) {
                named ? model.call_made(route, downstream, now) : model.call_made(downstream, now);
            });
        }
        events.emplace(begin + lasting, [&model, route](auto now) { model.run_ended(route, now); });
    }
}

class attribution : public testing::TestWithParam<model_case> {};

// Guards against a route that inherits the pressure of another route on the same VM, and against
// call trees whose scarce service is never found.
TEST_P(attribution, links_only_the_routes_that_call)
{
    const auto& row = GetParam();
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::mt19937_64 random(seed);
        call_tree_model model;
        event_list events;
        for (const auto& load : row.routes) {
            schedule(load, row.named, model, random, events);
        }
        if (row.stray_calls > 0) {
            std::exponential_distribution<double> gap(row.stray_calls);
            for (double when = gap(random); when < length_s; when += gap(random)) {
                events.emplace(when, [&](auto now) { model.call_made(base::route_id("r3"), now); });
            }
        }
        int next_check = 1;
        for (const auto& [when, run] : events) {
            run(at(when));
            if (when < next_check) {
                continue;
            }
            ++next_check;
            for (const auto& load : row.routes) {
                const auto found = model.downstream_of(base::route_id(load.route), at(when));
                const base::route_id wanted(load.downstream);
                for (const auto& link : found) {
                    EXPECT_EQ(link, wanted)
                        << load.route << " after " << when << " s, seed " << seed;
                }
                if (load.calls > 0 && when >= row.learned_by_s) {
                    EXPECT_EQ(found.size(), 1)
                        << load.route << " after " << when << " s, seed " << seed;
                }
            }
        }
    }
}

constexpr auto burst = call_pattern::all_at_the_start;

INSTANTIATE_TEST_SUITE_P(
    table, attribution,
    testing::Values(
        model_case{"one route", {{"r1", 20, 0.3, "r3", 4}}, 0, false, 15},
        model_case{"neighbour without calls",
                   {{"r1", 10, 0.4, "", 0}, {"r2", 50, 0.3, "r3", 4}},
                   0,
                   false,
                   20},
        model_case{"neighbour without calls, calls at the start",
                   {{"r1", 10, 0.4, "", 0}, {"r2", 50, 0.3, "r3", 4, burst}},
                   0,
                   false,
                   40},
        model_case{"two routes to two services",
                   {{"r1", 20, 0.1, "r4", 2}, {"r2", 20, 0.3, "r3", 4}},
                   0,
                   false,
                   20},
        model_case{"two routes to one service",
                   {{"r1", 20, 0.2, "r3", 4}, {"r2", 20, 0.3, "r3", 8}},
                   0,
                   false,
                   30},
        model_case{
            "little traffic", {{"r1", 2, 0.3, "r3", 4}, {"r2", 2, 0.3, "", 0}}, 0, false, 30},
        model_case{"calls of others", {{"r1", 10, 0.4, "", 0}}, 100, false, 20},
        model_case{
            "named parents", {{"r1", 10, 0.4, "", 0}, {"r2", 50, 0.3, "r3", 4}}, 0, true, 2}));

} // namespace
} // namespace damaskladder::admission
