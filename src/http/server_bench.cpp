#include "http/loopback_connection.hpp"
#include "http/server.hpp"

#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

namespace damaskladder::http {
namespace {

constexpr int batch = 1000;

/// One request after the other on one connection, from the caller's write to its read.
void BM_one_request(benchmark::State& state)
{
    event_loop loop;
    server in(loop, {},
              [](const std::shared_ptr<exchange>& request) { request->respond({}, "ok"); });
    in.listen({"127.0.0.1", 0}).value();
    const auto caller = connect_to_loopback(in.port());
    fcntl(caller.get(), F_SETFL, O_NONBLOCK);
    const std::string request = "GET /a/path/of/usual/length HTTP/1.1\r\nHost: h\r\n"
                                "Authorization: Bearer 0123456789abcdef\r\n\r\n";
    std::array<char, 4096> received{};
    int left = 0;
    const auto send_next = [&] {
        [[maybe_unused]] const auto sent =
            send(caller.get(), request.data(), request.size(), MSG_NOSIGNAL);
    };
    loop.watch(caller.get(), EPOLLIN | static_cast<std::uint32_t>(EPOLLET), [&](std::uint32_t) {
        if (read(caller.get(), received.data(), received.size()) <= 0) {
            return;
        }
        if (--left > 0) {
            send_next();
        }
        else {
            loop.stop();
        }
    });
    while (state.KeepRunningBatch(batch)) {
        left = batch;
        send_next();
        loop.run();
    }
    loop.unwatch(caller.get());
}
BENCHMARK(BM_one_request);

} // namespace
} // namespace damaskladder::http
