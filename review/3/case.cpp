// A request whose path equals a route's prefix without the final slash.
#include "../standin/standin.hpp"

using namespace review;

namespace {

constexpr int requests_per_node = 10;

http_message get(const machine& node, const std::string& path, const std::string& id,
                 recorder& record)
{
    connection to;
    if (!to.open(node.ip(), node.port("outbound")) ||
        !to.send(request_head("GET", path, id, 3000))) {
        return {};
    }
    const auto answer = to.read_message(4.0).value_or(http_message());
    record.line("client sends GET " + path + " id " + id + " to " + node.name + ", gets " +
                std::to_string(answer.status()) + " " + answer.body);
    return answer;
}

} // namespace

int main(int, char** arguments)
{
    recorder record(arguments[1]);
    fleet system(record);
    system.add_core(3);
    auto& first = system.add_sidecar("catalog", 0);
    auto& second = system.add_sidecar("orders", 1);
    const auto work = [](const std::string& text) {
        return [text](const http_message&) { return text; };
    };
    server catalog("catalog", first.ip(), 8547, "i-catalog-1", record, work("from catalog"));
    server orders("orders", second.ip(), 8547, "i-orders-1", record, work("from orders"));
    system.start_all();
    heartbeats of_catalog(system, first, catalog);
    heartbeats of_orders(system, second, orders);
    const auto wanted = config("00000001",
                               route("r-catalog", "/shop/", "safe", "catalog", 2) + "," +
                                   route("r-orders", "/shop/orders/", "safe", "orders", 2),
                               {"catalog", "orders"});
    int result = could_not_run;
    if (system.put_config("00000000", wanted, 20) == 200 && system.wait_ready(20)) {
        sleep_s(4);
        int served = 0;
        for (int i = 0; i < requests_per_node; ++i) {
            for (auto* node : system.sidecars) {
                const auto id = node->name + "-" + std::to_string(i);
                served += get(*node, "/shop/list", "c-" + id, record).status() == 200 ? 1 : 0;
                served += get(*node, "/shop/orders/7", "o-" + id, record).status() == 200 ? 1 : 0;
                if (trouble()) {
                    // The longest prefix that begins this path is /shop/.
                    get(*node, "/shop/orders", "p-" + id, record);
                }
            }
        }
        result = served == 4 * requests_per_node ? rule_held : could_not_run;
        for (const auto& run : orders.runs()) {
            if (run.request.target().rfind("/shop/orders/", 0) != 0) {
                record.line("broken: orders ran " + run.request.start_line +
                            ", which only the route of catalog allows");
                result = rule_broken;
            }
        }
    }
    record.line("exit code " + std::to_string(result));
    return result;
}
