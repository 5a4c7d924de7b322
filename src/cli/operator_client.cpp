#include "cli/operator_client.hpp"

#include <chrono>
#include <thread>

namespace damaskladder::cli {

namespace {

constexpr base::duration response_timeout = std::chrono::seconds(2);
constexpr base::duration retry_interval = std::chrono::milliseconds(100);
constexpr int unavailable = 503;

} // namespace

operator_client::operator_client(std::vector<http::address> replicas, std::string token)
    : m_client(m_loop), m_replicas(std::move(replicas)), m_token(std::move(token))
{
}

std::optional<operator_response> operator_client::execute(const request& outgoing)
{
    const auto deadline = http::event_loop::now() + time_limit;
    while (http::event_loop::now() < deadline) {
        for (const auto& replica : m_replicas) {
            auto answer = send_to(replica, outgoing);
            if (answer && answer->status != unavailable) {
                return answer;
            }
            if (answer && answer->body.find("\"unknown\"") != std::string::npos) {
                m_outcome_unknown = true;
            }
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return std::nullopt;
}

std::optional<operator_response> operator_client::send_to(const http::address& replica,
                                                          const request& outgoing)
{
    http::client_request call;
    call.to = replica;
    call.head.target = outgoing.target;
    call.head.headers.add("Authorization", "Bearer " + m_token);
    if (!outgoing.body.empty()) {
        call.head.method = "POST";
        call.head.body_size = base::byte_count(static_cast<std::int64_t>(outgoing.body.size()));
    }
    call.timeout = response_timeout;
    operator_response answer;
    bool completed = false;
    std::size_t sent = 0;
    http::transfer::hooks hooks;
    hooks.on_head = [&](const http::response_head& head) { answer.status = head.status; };
    hooks.on_body = [&](std::string_view data) {
        answer.body += data;
        return true;
    };
    hooks.read_body = [&](char* out, std::size_t size) {
        const auto copied = outgoing.body.copy(out, size, sent);
        sent += copied;
        return copied;
    };
    hooks.on_end = [&](const http::transfer_result& end) {
        completed = end.completion == http::transfer_result::kind::complete;
        if (end.completion == http::transfer_result::kind::broken) {
            m_outcome_unknown = true;
        }
        m_loop.stop();
    };
    m_client.send(std::move(call), std::move(hooks));
    m_loop.run();
    return completed ? std::optional(answer) : std::nullopt;
}

} // namespace damaskladder::cli
