#include "cli/operator_client.hpp"

#include <chrono>
#include <thread>

namespace damaskladder::cli {

namespace {

constexpr base::duration answer_timeout = std::chrono::seconds(2);
constexpr base::duration pause_between_rounds = std::chrono::milliseconds(100);
constexpr int unavailable = 503;

} // namespace

operator_client::operator_client(std::vector<http::address> replicas, std::string token)
    : m_client(m_loop), m_replicas(std::move(replicas)), m_token(std::move(token))
{
}

std::optional<operator_answer_text> operator_client::ask(const request& wanted)
{
    const auto give_up = http::event_loop::now() + time_limit;
    while (http::event_loop::now() < give_up) {
        for (const auto& replica : m_replicas) {
            auto answer = ask_one(replica, wanted);
            if (answer && answer->status != unavailable) {
                return answer;
            }
            if (answer && answer->body.find("\"unknown\"") != std::string::npos) {
                m_maybe_done = true;
            }
        }
        std::this_thread::sleep_for(pause_between_rounds);
    }
    return std::nullopt;
}

std::optional<operator_answer_text> operator_client::ask_one(const http::address& replica,
                                                             const request& wanted)
{
    http::client_request call;
    call.to = replica;
    call.head.target = wanted.target;
    call.head.headers.add("Authorization", "Bearer " + m_token);
    if (!wanted.body.empty()) {
        call.head.method = "POST";
        call.head.body_size = base::byte_count(static_cast<std::int64_t>(wanted.body.size()));
    }
    call.timeout = answer_timeout;
    operator_answer_text answer;
    bool whole = false;
    std::size_t sent = 0;
    http::transfer::hooks hooks;
    hooks.on_head = [&](const http::response_head& head) { answer.status = head.status; };
    hooks.on_body = [&](std::string_view data) {
        answer.body += data;
        return true;
    };
    hooks.read_body = [&](char* out, std::size_t size) {
        const auto taken = wanted.body.copy(out, size, sent);
        sent += taken;
        return taken;
    };
    hooks.on_end = [&](const http::transfer_result& end) {
        whole = end.completion == http::transfer_result::kind::complete;
        if (end.completion == http::transfer_result::kind::broken) {
            m_maybe_done = true;
        }
        m_loop.stop();
    };
    m_client.send(std::move(call), std::move(hooks));
    m_loop.run();
    return whole ? std::optional(answer) : std::nullopt;
}

} // namespace damaskladder::cli
