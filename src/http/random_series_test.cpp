#include "http/raw_socket_fake.hpp"
#include "http/response_list.hpp"
#include "http/run_until.hpp"
#include "http/server.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace damaskladder::http {
namespace {

/// A series of requests and, by the reference model, the list of its responses.
struct random_series {
    std::string sent;
    std::string responses;
    std::size_t arriving = 0;
};

class series_generator {
public:
    explicit series_generator(std::mt19937& random) : m_random(random) {}

    random_series next()
    {
        random_series made;
        const auto count = 1 + m_random() % 20;
        bool open = true;
        for (std::size_t n = 0; n < count; ++n) {
            const auto target = "/" + std::to_string(n);
            if (below(40) == 0) {
                made.sent += "GET " + target + " HTTP/1.1\r\nno field\r\n\r\n";
                expect(made, open, "400 close", false);
                open = false;
                continue;
            }
            const bool closes = below(30) == 0;
            add_request(made, target, closes, open);
            open = open && !closes;
        }
        return made;
    }

private:
    std::size_t below(std::size_t end) { return m_random() % end; }

    void add_request(random_series& to, const std::string& target, bool closes, bool open)
    {
        const std::string fields =
            std::string(" HTTP/1.1\r\nHost: h\r\n") + (closes ? "Connection: close\r\n" : "");
        const std::string status = closes ? "200 close" : "200";
        const auto kind = below(4);
        std::string body(below(3) == 0 ? below(9000) : below(20), 'b');
        switch (kind) {
        case 0:
            to.sent += "GET " + target + fields + "\r\n";
            expect(to, open, status + " " + target, true);
            return;
        case 1:
            to.sent += "HEAD " + target + fields + "\r\n";
            expect(to, open, status, true);
            return;
        case 2:
            to.sent += "POST " + target + fields +
                       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            break;
        default:
            to.sent += "POST " + target + fields + "Transfer-Encoding: chunked\r\n\r\n";
            append_chunk(to.sent, body);
            append_last_chunk(to.sent);
        }
        expect(to, open, status + " " + target + body, true);
    }

    static void expect(random_series& to, bool open, const std::string& response, bool arrives)
    {
        if (open) {
            to.responses += (to.responses.empty() ? "" : ", ") + response;
            to.arriving += arrives ? 1 : 0;
        }
    }

    std::mt19937& m_random;
};

struct limits_case {
    std::string name;
    unsigned requests_ahead;
    std::int64_t waiting_size;
    int series_count;
};

void PrintTo(const limits_case& row, std::ostream* out)
{
    *out << row.name;
}

class random_requests : public testing::TestWithParam<limits_case> {};

// Guards against series that the listed cases do not contain: each is sent in random pieces and its
// requests are answered in random order, whole or in parts.
TEST_P(random_requests, are_answered_as_by_the_model)
{
    constexpr unsigned seed = 20261206;
    std::mt19937 random(seed);
    series_generator generator(random);
    server_limits limits;
    limits.requests_ahead = GetParam().requests_ahead;
    limits.waiting_size = base::byte_count(GetParam().waiting_size);
    event_loop loop;
    std::vector<std::shared_ptr<exchange>> open;
    std::size_t arrived = 0;
    server in(loop, limits, [&](const std::shared_ptr<exchange>& request) {
        ++arrived;
        open.push_back(request);
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    // Long enough for one wait for events.
    const auto step = [&loop] {
        loop.call_at(event_loop::now() + std::chrono::microseconds(20), [&loop] { loop.stop(); });
        loop.run();
    };
    const auto answer_one = [&] {
        const auto chosen = open.begin() + static_cast<std::ptrdiff_t>(random() % open.size());
        const auto request = *chosen;
        if (!request->body_complete()) {
            return;
        }
        const auto& target = request->head().target;
        if (!request->started()) {
            response_head head;
            if (request->head().method == "HEAD") {
                head.headers.add("X-Head", "1");
            }
            if (random() % 2 == 0) {
                const auto size = target.size() + request->body().size();
                head.body_size = base::byte_count(static_cast<std::int64_t>(size));
            }
            request->start(head);
            request->write(target);
            return;
        }
        request->write(request->body());
        request->finish();
        open.erase(chosen);
    };
    for (int n = 0; n < GetParam().series_count; ++n) {
        const auto series = generator.next();
        open.clear();
        arrived = 0;
        raw_socket_caller caller(in.port(), "");
        std::string_view rest = series.sent;
        const auto give_up = event_loop::now() + std::chrono::seconds(10);
        std::string responses;
        while (responses != series.responses && event_loop::now() < give_up) {
            const auto piece = rest.substr(0, 1 + random() % 3000);
            caller.write(std::string(piece));
            rest.remove_prefix(piece.size());
            step();
            if (!open.empty()) {
                answer_one();
            }
            const auto size_before = caller.received().size();
            caller.try_read_all();
            if (caller.received().size() != size_before) {
                responses = response_list(caller.received(), "X-Head");
            }
        }
        ASSERT_EQ(responses, series.responses) << "series " << n;
        ASSERT_EQ(arrived, series.arriving) << "series " << n;
    }
}

INSTANTIATE_TEST_SUITE_P(table, random_requests,
                         testing::Values(limits_case{"one_at_a_time", 1, 256 * 1024, 200},
                                         limits_case{"several", 16, 256 * 1024, 1000},
                                         limits_case{"few_bytes", 16, 2000, 300}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::http
