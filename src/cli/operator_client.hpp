#pragma once

#include "cli/operator_response.hpp"
#include "http/client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::cli {

/// Asks the control replicas one after the other until the leader answers.
///
/// A command carries a change id, so sending it again after a lost answer is harmless.
class operator_client {
public:
    operator_client(std::vector<http::address> replicas, std::string token);

    /// A query or, with a body, a command.
    struct request {
        std::string target;
        std::string body;
    };

    /// Nothing if no replica gave a definite answer within the time limit; see outcome_unknown().
    std::optional<operator_response> execute(const request& outgoing);

    /// Whether a command without an answer may have been carried out.
    bool outcome_unknown() const { return m_outcome_unknown; }

    /// Time for which replicas are asked again and again. Longer than the election of a leader.
    static constexpr base::duration time_limit = std::chrono::seconds(6);

private:
    std::optional<operator_response> send_to(const http::address& replica, const request& outgoing);

    http::event_loop m_loop;
    http::client m_client;
    std::vector<http::address> m_replicas;
    std::string m_token;
    bool m_outcome_unknown = false;
};

} // namespace damaskladder::cli
