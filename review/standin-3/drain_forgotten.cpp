// A worker that never reports draining deregisters, is acknowledged and serves on. All processes
// are killed right after the confirmation and are back within a second. A ping that the worker had
// sent before arrives seconds late.

#include "harness.hpp"

using namespace review;

namespace {

constexpr double contact_s = 3;
constexpr double drain_s = 2;
constexpr double down_s = 0.6;
constexpr double late_s = 3;

int play()
{
    fleet machines(3, std::vector<std::string>(3, "orders"));
    machines.start_all();
    run_list runs;
    std::vector<std::unique_ptr<worker>> workers;
    for (auto* side : machines.sides()) {
        workers.push_back(std::make_unique<worker>(machines, *side, runs, "i-" + side->name, 0.01));
        workers.back()->start_pings();
    }
    client_group clients(machines);
    const std::vector<route> routes = {{"r-orders", "/orders/", "safe", "orders"}};
    const tenant shop{"shop", {"key-of-shop-00001"}, 1000, 1000};
    if (put_config(machines, 0, config_text(1, {"orders"}, routes, {shop})) != 200) {
        return 2;
    }
    for (auto* side : machines.sides()) {
        wait_until("a node serves", 15, [&] {
            return clients.send(*side, "GET", "/orders/a", "key-of-shop-00001", 2).status == 200;
        });
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> sending;
    for (auto* side : machines.sides()) {
        sending.emplace_back([&clients, &stop, side] {
            while (!stop) {
                clients.send(*side, "GET", "/orders/b", "key-of-shop-00001", 1);
                sleep_s(0.02);
            }
        });
    }
    sleep_s(3);

    auto& leaving = *workers[0];
    leaving.stop_pings();
    sleep_s(1.6);
    const auto late_ping = leaving.take_ping("ready");
    const double sent_at = now_s();
    note("worker " + leaving.id() + " sends a ping, which is late");
    wait_until("the deregistration is acknowledged", 5,
               [&] { return leaving.deregister() == 200; });
    const double acknowledged = now_s();
    note("worker " + leaving.id() + " has its deregistration acknowledged");
    double in_touch = acknowledged;
    if (has_trouble()) {
        std::vector<machine*> all;
        for (auto& each : machines.machines) {
            all.push_back(&each);
        }
        note("platform kills all processes");
        machines.kill_together(all);
        sleep_s(down_s);
        for (auto* each : all) {
            each->bootstrap = false;
            machines.start(*each);
        }
        in_touch = now_s() + 2 * contact_s;
    }
    sleep_s(sent_at + late_s - now_s());
    const int answer = leaving.send_ping(late_ping);
    note("the late ping of worker " + leaving.id() + " arrives -> " + std::to_string(answer));
    sleep_s(std::max(in_touch, acknowledged + drain_s) + 3 - now_s());
    stop = true;
    for (auto& each : sending) {
        each.join();
    }

    const double from = std::max(in_touch, acknowledged + drain_s);
    std::map<std::string, double> sent;
    int served = 0;
    for (const auto& each : clients.all()) {
        sent[each.id] = each.sent;
        served += each.sent > from && each.status == 200 ? 1 : 0;
    }
    int broken = 0;
    for (const auto& each : runs.all()) {
        broken += each.worker == leaving.id() && sent[each.id] > from ? 1 : 0;
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "DRAIN: %d requests sent after %.3f ran at the worker that was acknowledged as "
                  "gone at %.3f (%d "
                  "requests served)",
                  broken, from, acknowledged, served);
    note(text);
    std::printf("%s\n", text);
    return served == 0 ? 2 : broken > 0 ? 1 : 0;
}

} // namespace

int main()
{
    return run_case(play);
}
