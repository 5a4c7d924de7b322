// A tenant that has just been added sends a burst, its entry is dropped from the config and put
// back at once, and it goes on sending. Its usage cap is counted over the runs at all workers.

#include "harness.hpp"

using namespace review;

namespace {

constexpr double window_s = 5;
constexpr double rate = 5;
constexpr double burst = 120;
constexpr double overage = 0.1;
constexpr double slack = 20;
constexpr double storm_gap_s = 0.06;
constexpr int nodes = 10;

int judge(const std::vector<sent_request>& sent, const std::vector<run>& runs)
{
    std::map<std::string, double> sent_at;
    for (const auto& each : sent) {
        if (each.key == "key-of-mill-00002") {
            sent_at[each.id] = each.sent;
        }
    }
    std::vector<std::pair<double, double>> counted; // sent, run
    std::set<std::string> seen;
    for (const auto& each : runs) {
        if (each.tenant == "mill" && seen.insert(each.id).second) {
            counted.push_back({sent_at[each.id], each.at});
        }
    }
    const double allowed = (rate * window_s + burst) * (1 + overage) + slack;
    int most = 0;
    double worst = 0;
    for (const auto& first : counted) {
        int inside = 0;
        for (const auto& each : counted) {
            inside += each.first >= first.first && each.second <= first.first + window_s ? 1 : 0;
        }
        if (inside > most) {
            most = inside;
            worst = first.first;
        }
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "QUOTA: %d runs of the tenant in the 5 s from %.3f, allowed %.0f", most, worst,
                  allowed);
    note(text);
    std::printf("%s\n", text);
    return most > allowed ? 1 : 0;
}

int play()
{
    fleet machines(3, std::vector<std::string>(nodes, "orders"));
    machines.start_all();
    run_list runs;
    std::vector<std::unique_ptr<worker>> workers;
    for (auto* side : machines.sides()) {
        workers.push_back(std::make_unique<worker>(machines, *side, runs, "i-" + side->name, 0.01));
        workers.back()->start_pings();
    }
    client_group clients(machines);
    const std::vector<std::string> services = {"orders"};
    const std::vector<route> routes = {{"r-orders", "/orders/", "safe", "orders"}};
    const tenant first{"shop", {"key-of-shop-00001"}, 100, 100};
    const tenant second{"mill", {"key-of-mill-00002"}, rate, burst};
    if (put_config(machines, 0, config_text(1, services, routes, {first})) != 200) {
        return 2;
    }
    for (auto* side : machines.sides()) {
        wait_until("a node serves the first tenant", 15, [&] {
            return clients.send(*side, "GET", "/orders/a", "key-of-shop-00001", 2).status == 200;
        });
    }
    if (put_config(machines, 1, config_text(2, services, routes, {first, second})) != 200) {
        return 2;
    }
    // The burst of a new tenant fills up at its rate.
    sleep_s(burst / rate + 1.5);

    paced_calls sending;
    const auto send_many = [&](int count, double from, double over_s) {
        for (auto* side : machines.sides()) {
            for (int i = 0; i < count; ++i) {
                const double at = from + over_s * i / count;
                sending.add(at - 0.1, [&clients, side, at] {
                    clients.send(*side, "GET", "/orders/b", "key-of-mill-00002", 2, at);
                });
            }
        }
    };
    const auto begin = now_s() + 0.3;
    send_many(static_cast<int>(burst) / nodes, begin, 0);
    send_many(85, begin + 0.1, 3.2);
    sending.begin();
    sleep_s(begin + 0.05 - now_s());
    if (has_trouble()) {
        const int dropped = put_config(machines, 2, config_text(3, services, routes, {first}));
        sleep_s(storm_gap_s);
        if (dropped != 200 ||
            put_config(machines, 3, config_text(4, services, routes, {first, second})) != 200) {
            return 2;
        }
    }
    sending.finish();
    sleep_s(1);
    return judge(clients.all(), runs.all());
}

} // namespace

int main()
{
    return run_case(play);
}
