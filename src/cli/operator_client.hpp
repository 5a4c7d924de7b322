#pragma once

#include "cli/operator_response.hpp"
#include "http/client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace damaskladder::cli {

/// Sends a request to the control replicas in turn until the leader responds.
///
/// Commands carry a change id, so resending one whose response was lost does not apply it twice.
class operator_client {
public:
    operator_client(std::vector<http::address> replicas, std::string token);

    /// A query if the body is empty, otherwise a command.
    struct request {
        std::string target;
        std::string body;
    };

    /// Returns nothing if no replica gave a definite response within time_limit; see
    /// outcome_unknown().
    std::optional<operator_response> execute(const request& outgoing);

    /// Whether a command that got no definite response may have been applied.
    bool outcome_unknown() const { return m_outcome_unknown; }

    /// Total time for attempts. Longer than a leader election, so that a command survives one.
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
