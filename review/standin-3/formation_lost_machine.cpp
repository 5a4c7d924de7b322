// One of the three control machines is gone for good 0.2 s after all machines have started for the
// first time. A spare one starts 1 s later at another address, with an empty disk and bootstrap set
// to false.

#include "harness.hpp"

using namespace review;

namespace {

constexpr double gone_after_s = 0.2;
constexpr double spare_after_s = 1;
constexpr double recovery_s = 15;

int play()
{
    fleet machines(4, std::vector<std::string>(2, "orders"));
    auto& gone = machines["core-3"];
    auto& spare = machines["core-4"];
    spare.bootstrap = false;
    machines.spares = {"core-4"};
    for (auto& each : machines.machines) {
        if (each.name != spare.name) {
            machines.start(each);
        }
    }
    if (has_trouble()) {
        sleep_s(gone_after_s);
        machines.kill_now(gone);
        note("platform " + gone.name + " is gone for good");
        sleep_s(spare_after_s);
        machines.start(spare);
    }
    const double back = now_s();
    run_list runs;
    std::vector<std::unique_ptr<worker>> workers;
    for (auto* side : machines.sides()) {
        workers.push_back(std::make_unique<worker>(machines, *side, runs, "i-" + side->name, 0.01));
        workers.back()->start_pings();
    }
    client_group clients(machines);
    const std::vector<route> routes = {{"r-orders", "/orders/", "safe", "orders"}};
    const tenant shop{"shop", {"key-of-shop-00001"}, 1000, 1000};
    std::atomic<int> confirmed{0};
    std::thread operating([&] {
        if (put_config(machines, 0, config_text(1, {"orders"}, routes, {shop}), 60) == 200) {
            ++confirmed;
        }
    });
    int served = 0;
    while (now_s() < back + 4 * recovery_s) {
        for (auto* side : machines.sides()) {
            served += clients.send(*side, "GET", "/orders/a", "key-of-shop-00001", 1).status == 200
                          ? 1
                          : 0;
        }
        sleep_s(0.2);
        if (served >= 50) {
            break;
        }
    }
    operating.join();
    char text[200];
    std::snprintf(text, sizeof text,
                  "Fault: %d configs confirmed and %d requests served in the %.0f s after the "
                  "spare machine's start",
                  confirmed.load(), served, now_s() - back);
    note(text);
    std::printf("%s\n", text);
    return served == 0 ? 1 : 0;
}

} // namespace

int main()
{
    return run_case(play);
}
