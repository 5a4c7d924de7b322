#include "admission/controller.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace damaskladder::admission {
namespace {

using std::chrono::milliseconds;

base::time_point at_ms(std::int64_t value)
{
    return base::time_point(milliseconds(value));
}

call_request make_request(std::uint64_t id, base::importance level, std::int64_t deadline_ms,
                          const char* workspace = "w")
{
    call_request request;
    request.id = ticket(id);
    request.workspace = base::workspace_id(workspace);
    request.importance = level;
    request.deadline = at_ms(deadline_ms);
    return request;
}

/// A controller with two slots and a measured latency of 20 ms. Tickets 9001 and 9002 occupy both
/// slots.
struct busy_controller {
    explicit busy_controller(controller_options options = {}) : control(options)
    {
        control.announce(base::slot_count(2), false, at_ms(0), out);
        for (std::uint64_t id = 8000; id < 8020; ++id) {
            control.offer(make_request(id, base::importance::critical, 10'000), at_ms(0), out);
            control.finished(ticket(id), call_outcome::served, milliseconds(20), at_ms(200), out);
        }
        control.offer(make_request(9001, base::importance::critical, 10'000), at_ms(300), out);
        control.offer(make_request(9002, base::importance::critical, 10'000), at_ms(300), out);
        out.clear();
    }

    void free_slots()
    {
        control.finished(ticket(9001), call_outcome::cancelled, {}, at_ms(400), out);
        control.finished(ticket(9002), call_outcome::cancelled, {}, at_ms(400), out);
    }

    controller control;
    std::vector<verdict> out;
};

enum class step_kind { offer, gone, free_slots, expire, close };

struct step {
    step_kind kind;
    std::int64_t at_ms = 300;
    std::uint64_t id = 0;
    base::importance level = base::importance::normal;
    std::int64_t deadline_ms = 2'000;
};

struct scenario_case {
    const char* name;
    std::vector<step> steps;
    std::vector<verdict> verdicts;
};

void PrintTo(const scenario_case& row, std::ostream* out)
{
    *out << row.name;
}

void perform(busy_controller& busy, const step& next)
{
    switch (next.kind) {
    case step_kind::offer:
        busy.control.offer(make_request(next.id, next.level, next.deadline_ms), at_ms(next.at_ms),
                           busy.out);
        break;
    case step_kind::gone:
        busy.control.caller_gone(ticket(next.id));
        break;
    case step_kind::free_slots:
        busy.free_slots();
        break;
    case step_kind::expire:
        busy.control.expire(at_ms(next.at_ms), busy.out);
        break;
    case step_kind::close:
        busy.control.close(busy.out);
        break;
    }
}

class scenarios : public testing::TestWithParam<scenario_case> {};

// Guards against starting calls that are past their deadline, abandoned by their caller, or less
// important than a queued call.
TEST_P(scenarios, yield_expected_verdicts)
{
    busy_controller busy;
    for (const auto& next : GetParam().steps) {
        perform(busy, next);
    }
    EXPECT_EQ(busy.out, GetParam().verdicts);
}

constexpr auto low = base::importance::low;
constexpr auto normal = base::importance::normal;
constexpr auto critical = base::importance::critical;

INSTANTIATE_TEST_SUITE_P(
    table, scenarios,
    testing::Values(
        scenario_case{"waits for a slot",
                      {{step_kind::offer, 300, 1}, {step_kind::free_slots}},
                      {{ticket(1), verdict_kind::start}}},
        scenario_case{"important first",
                      {{step_kind::offer, 300, 1, low},
                       {step_kind::offer, 300, 2, normal},
                       {step_kind::offer, 300, 3, critical},
                       {step_kind::free_slots}},
                      {{ticket(3), verdict_kind::start}, {ticket(2), verdict_kind::start}}},
        scenario_case{"passed deadline never starts",
                      {{step_kind::offer, 300, 1, normal, 350},
                       {step_kind::offer, 300, 2},
                       {step_kind::free_slots}},
                      {{ticket(1), verdict_kind::deadline}, {ticket(2), verdict_kind::start}}},
        scenario_case{"deadline that cannot be met is refused at once",
                      {{step_kind::offer, 300, 1, normal, 315}},
                      {{ticket(1), verdict_kind::deadline}}},
        scenario_case{
            "caller gone never starts",
            {{step_kind::offer, 300, 1}, {step_kind::gone, 310, 1}, {step_kind::free_slots}},
            {}},
        scenario_case{"wait is bounded",
                      {{step_kind::offer, 300, 1}, {step_kind::expire, 551}},
                      {{ticket(1), verdict_kind::shed}}},
        scenario_case{"expired deadline is told without a free slot",
                      {{step_kind::offer, 300, 1, normal, 360}, {step_kind::expire, 360}},
                      {{ticket(1), verdict_kind::deadline}}},
        scenario_case{"drain refuses what waits and what comes",
                      {{step_kind::offer, 300, 1}, {step_kind::close}, {step_kind::offer, 300, 2}},
                      {{ticket(1), verdict_kind::closed}, {ticket(2), verdict_kind::closed}}}));

// Guards against a queue full of less important calls that blocks an important one.
TEST(controller, evicts_least_important_call_for_newer_more_important_call)
{
    busy_controller busy;
    std::uint64_t id = 0;
    while (busy.out.empty()) {
        busy.control.offer(make_request(++id, low, 5'000), at_ms(300), busy.out);
    }
    EXPECT_EQ(busy.out, std::vector<verdict>({{ticket(id), verdict_kind::shed}}));
    busy.out.clear();
    const auto queued = busy.control.queued();
    for (int n = 0; n < 5; ++n) {
        busy.control.offer(make_request(++id, critical, 5'000), at_ms(300), busy.out);
    }
    EXPECT_LE(busy.control.queued(), queued + 1);
    for (const auto& issued : busy.out) {
        EXPECT_EQ(issued.kind, verdict_kind::shed);
        EXPECT_LT(issued.id.value(), id - 4) << "an important call was shed";
    }
    EXPECT_GE(busy.out.size(), 4U);
}

// Guards against a large sender that uses up the queue space of other workspaces.
TEST(controller, large_sender_fills_only_its_own_share)
{
    busy_controller busy;
    for (std::uint64_t id = 1; id <= 1'000; ++id) {
        busy.control.offer(make_request(id, normal, 5'000, "large"), at_ms(300), busy.out);
    }
    busy.out.clear();
    busy.control.offer(make_request(2'000, normal, 5'000, "small"), at_ms(300), busy.out);
    for (const auto& issued : busy.out) {
        EXPECT_NE(issued.id, ticket(2'000));
    }
    busy.out.clear();
    busy.free_slots();
    EXPECT_NE(
        std::find(busy.out.begin(), busy.out.end(), verdict{ticket(2'000), verdict_kind::start}),
        busy.out.end());
}

// Guards against callers without keys that occupy every slot.
TEST(controller, open_calls_hold_bounded_fraction_of_slots)
{
    controller control{controller_options{}};
    std::vector<verdict> out;
    control.announce(base::slot_count(10), false, at_ms(0), out);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        auto request = make_request(id, critical, 1'000);
        request.open = true;
        control.offer(request, at_ms(0), out);
    }
    EXPECT_EQ(control.running(), base::slot_count(9));
    out.clear();
    control.offer(make_request(100, low, 1'000), at_ms(0), out);
    EXPECT_EQ(out, std::vector<verdict>({{ticket(100), verdict_kind::start}}));
}

/// Tracks the calls offered to a controller and checks its contract after each step.
class contract_checker {
public:
    void offered(const call_request& request) { m_waiting[request.id] = request; }
    void gone(ticket id) { m_waiting.erase(id); }
    void finished(ticket id) { m_running.erase(id); }

    void check(const std::vector<verdict>& out, base::time_point now, base::slot_count limit)
    {
        for (const auto& issued : out) {
            ASSERT_EQ(m_waiting.count(issued.id), 1U) << "second verdict or one without an offer";
            const auto request = m_waiting.at(issued.id);
            m_waiting.erase(issued.id);
            if (issued.kind == verdict_kind::start) {
                EXPECT_GT(request.deadline, now);
                m_running.insert(issued.id);
                EXPECT_LE(static_cast<std::int64_t>(m_running.size()), limit.value());
                for (const auto& [id, waiting] : m_waiting) {
                    EXPECT_LE(waiting.importance, request.importance);
                }
            }
        }
    }

    const std::map<ticket, call_request>& waiting() const { return m_waiting; }
    const std::set<ticket>& running() const { return m_running; }

private:
    std::map<ticket, call_request> m_waiting;
    std::set<ticket> m_running;
};

template <class Set>
auto pick(const Set& from, std::mt19937_64& random)
{
    return *std::next(from.begin(), static_cast<std::int64_t>(random() % from.size()));
}

class controller_schedules : public testing::TestWithParam<int> {};

// Runs 200 seeded schedules of 400 steps. Guards against two verdicts for one call, more running
// calls than the limit, starts after the deadline, and starts ahead of a more important queued
// call.
TEST_P(controller_schedules, keep_the_contract)
{
    for (int schedule = 0; schedule < 50; ++schedule) {
        std::mt19937_64 random(static_cast<std::uint64_t>(GetParam() * 1'000 + schedule));
        controller control{controller_options{}};
        contract_checker checker;
        std::vector<verdict> out;
        base::time_point now = at_ms(0);
        control.announce(base::slot_count(1 + static_cast<std::int64_t>(random() % 8)), false, now,
                         out);
        for (std::uint64_t id = 1; id <= 400; ++id) {
            now += milliseconds(random() % 5);
            out.clear();
            const auto kind = random() % 10;
            if (kind < 5) {
                auto request = make_request(id, static_cast<base::importance>(random() % 4), 0);
                request.workspace = base::workspace_id(std::string(1, 'a' + random() % 4));
                request.deadline = now + milliseconds(random() % 400);
                checker.offered(request);
                control.offer(request, now, out);
            }
            else if (kind < 8 && !checker.running().empty()) {
                const ticket done = pick(checker.running(), random);
                checker.finished(done);
                control.finished(done, call_outcome::served, milliseconds(random() % 60), now, out);
            }
            else if (kind == 8 && !checker.waiting().empty()) {
                const ticket departed = pick(checker.waiting(), random).first;
                checker.gone(departed);
                control.caller_gone(departed);
            }
            else {
                control.expire(now, out);
            }
            checker.check(out, now, control.limit());
            ASSERT_EQ(control.queued(), static_cast<std::int64_t>(checker.waiting().size()));
        }
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, controller_schedules, testing::Values(1, 2, 3, 4));

} // namespace
} // namespace damaskladder::admission
