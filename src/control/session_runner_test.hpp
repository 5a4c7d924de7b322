#pragma once

#include "control/state_machine.hpp"

#include <string>
#include <vector>

namespace damaskladder::control {

/// Runs an operator session written as text and records the replies of the state machine.
///
/// A line "> @SECONDS OPERATOR CHANGE VERB ..." is a command, "? VERB ..." a query, and "| ..." a
/// line of the INI text or of the edits that the command carries. Other lines are output.
class session_runner {
public:
    /// If restarts is set, the state machine is replaced before each command by one restored from
    /// its snapshot.
    explicit session_runner(bool restarts) : m_restarts(restarts) {}

    /// Returns the session with the output in the text replaced by the output of this run.
    std::string run(const std::string& text);

private:
    struct session_step {
        std::string line;
        std::vector<std::string> body;
    };

    static std::vector<session_step> parse_steps(const std::string& text);
    std::string run_command(const session_step& step);
    std::string run_query(const std::string& line) const;
    void restart();

    bool m_restarts;
    state_machine m_machine;
    log_position m_position;
};

} // namespace damaskladder::control
