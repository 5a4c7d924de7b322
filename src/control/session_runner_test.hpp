#pragma once

#include "control/state_machine.hpp"

#include <string>
#include <vector>

namespace damaskladder::control {

/// Plays an operator session written as text, and writes down what the state machine answered.
///
/// A line "> @SECONDS OPERATOR CHANGE VERB ..." is a command, "? VERB ..." a query, and "| ..." a
/// line of the INI text or of the edits that the command carries. Other lines are output.
class session_runner {
public:
    /// With restarts, the machine is replaced by one restored from its snapshot before each
    /// command.
    explicit session_runner(bool restarts) : m_restarts(restarts) {}

    /// The session with the output of this run in place of the output in the text.
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
