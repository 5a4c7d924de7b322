// A node restarts after it has confirmed a deregistration; a late heartbeat of the server follows.
#include "../standin/standin.hpp"

using namespace review;

namespace {

constexpr double drain_s = 2;
constexpr double contact_s = 3;

} // namespace

int main(int, char** arguments)
{
    recorder record(arguments[1]);
    fleet system(record);
    system.add_core(3);
    auto& entry = system.add_sidecar("catalog", 0);
    auto& first = system.add_sidecar("orders", 1);
    auto& second = system.add_sidecar("orders", 2);
    const auto work = [](const http_message&) { return std::string("done"); };
    server catalog("catalog", entry.ip(), 8547, "i-catalog-1", record, work);
    server leaving("orders", first.ip(), 8547, "i-orders-1", record, work);
    server staying("orders", second.ip(), 8547, "i-orders-2", record, work);
    system.start_all();
    heartbeats of_catalog(system, entry, catalog);
    heartbeats of_leaving(system, first, leaving);
    heartbeats of_staying(system, second, staying);
    const auto wanted = config("00000001", route("r-orders", "/orders/", "safe", "orders", 2),
                               {"catalog", "orders"});
    if (system.put_config("00000000", wanted, 20) != 200 || !system.wait_ready(20)) {
        record.line("exit code 2: the system did not start");
        return could_not_run;
    }
    sleep_s(4);

    std::atomic<bool> ended = false;
    std::atomic<int> served = 0;
    std::thread client([&] {
        for (int i = 0; !ended; ++i) {
            connection to;
            const auto id = "r-" + std::to_string(i);
            if (to.open(entry.ip(), entry.port("outbound")) &&
                to.send(request_head("GET", "/orders/" + std::to_string(i), id, 3000))) {
                const auto answer = to.read_message(4.0).value_or(http_message());
                record.line("client sent id " + id + ", got " + std::to_string(answer.status()));
                served += answer.status() == 200 ? 1 : 0;
            }
            sleep_s(0.03);
        }
    });
    sleep_s(2);
    of_leaving.stop();
    // This heartbeat is under way when the server deregisters.
    const auto late = ++of_leaving.sequence;
    const auto last = ++of_leaving.sequence;
    const int confirmed =
        system.report(first, leaving, "deregister", "ready", of_leaving.born, last);
    const double confirmed_at = now_s();
    sleep_s(0.3);
    double restarted_at = now_s();
    if (trouble()) {
        record.line("SIGKILL of " + first.name);
        first.kill();
        sleep_s(0.5);
        first.start();
        restarted_at = now_s();
        record.line("start of " + first.name);
    }
    sleep_s(1.2);
    system.report(first, leaving, "heartbeat", "ready", of_leaving.born, late);
    sleep_s(6);
    ended = true;
    client.join();

    int result = confirmed == 200 && served > 50 ? rule_held : could_not_run;
    const double from = std::max(confirmed_at + drain_s, restarted_at + contact_s) + 0.2;
    int after = 0;
    for (const auto& run : leaving.runs()) {
        after += run.at > from ? 1 : 0;
    }
    record.line(std::to_string(after) + " requests reached the server later than drain_s after " +
                "its deregistration was confirmed, through machines in touch");
    if (result == rule_held && after > 0) {
        result = rule_broken;
    }
    record.line("exit code " + std::to_string(result));
    return result;
}
