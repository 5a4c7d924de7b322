// Workers truncate a few of their answers: the head and half of the body are sent, and then nothing
// more, on a connection that stays open. The clients wait longer than the timeout of the route.

#include "harness.hpp"

using namespace review;

namespace {

constexpr double timeout_s = 1;
constexpr double grace_s = 0.5;
constexpr double patience_s = 4;

int play()
{
    fleet machines(3, std::vector<std::string>(5, "orders"));
    machines.start_all();
    run_list runs;
    std::vector<std::unique_ptr<worker>> workers;
    std::atomic<bool> truncates{false};
    std::atomic<int> answers{0};
    for (auto* side : machines.sides()) {
        workers.push_back(std::make_unique<worker>(machines, *side, runs, "i-" + side->name, 0.01));
        auto& each = *workers.back();
        // Three of five workers, the share of the site.
        const bool faulty = workers.size() <= 3;
        each.answer = [&, faulty](const message& request, int fd) {
            const auto id = request.field("request-id");
            const std::string body(4000, 'x');
            const auto whole =
                "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig-" + id +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            // 1 in 34 is just under the share of the site, 0.03.
            if (truncates && faulty && ++answers % 34 == 0) {
                note("worker truncates the answer to " + id);
                send_all(fd, whole.substr(0, whole.size() - body.size() / 2));
                return;
            }
            send_all(fd, whole);
        };
        each.start_pings();
    }
    client_group clients(machines);
    std::vector<route> routes = {{"r-orders", "/orders/", "safe", "orders", timeout_s}};
    const tenant shop{"shop", {"key-of-shop-00001"}, 1000, 1000};
    if (put_config(machines, 0, config_text(1, {"orders"}, routes, {shop})) != 200) {
        return 2;
    }
    for (auto* side : machines.sides()) {
        wait_until("a node serves", 15, [&] {
            return clients.send(*side, "GET", "/orders/a", "key-of-shop-00001", 2).status == 200;
        });
    }
    sleep_s(3);
    truncates = has_trouble();
    const double from = now_s();
    paced_calls sending;
    for (auto* side : machines.sides()) {
        for (int i = 0; i < 400; ++i) {
            sending.add(from + 0.03 * i, [&clients, side] {
                clients.send(*side, "GET", "/orders/b", "key-of-shop-00001", patience_s);
            });
        }
    }
    sending.begin();
    sending.finish();
    int late = 0;
    int unanswered = 0;
    for (const auto& each : clients.all()) {
        if (each.sent >= from && each.answered > each.sent + timeout_s) {
            ++late;
            unanswered += each.answered > each.sent + timeout_s + grace_s ? 1 : 0;
        }
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "CONFIG: %d requests lasted longer than the timeout of their route, %d of them "
                  "have no final answer "
                  "0.5 s after it",
                  late, unanswered);
    note(text);
    std::printf("%s\n", text);
    return unanswered >= 8 && unanswered * 4 > late ? 1 : 0;
}

} // namespace

int main()
{
    return run_case(play);
}
