#pragma once

#include "base/time.hpp"
#include "membership/announce_verdict.hpp"
#include "membership/endings_number.hpp"

#include <functional>
#include <vector>

namespace damaskladder::membership {

/// Answers to backend servers that wait until other nodes keep the end of the run.
class pending_confirmations {
public:
    using done = std::function<void(announce_verdict)>;

    /// `time_limit` is the time after which an answer is `unconfirmed`.
    explicit pending_confirmations(base::duration time_limit) : m_time_limit(time_limit) {}

    /// Adds an answer that waits for this list of endings.
    void add(endings_number list, done answer, base::time_point now);
    /// Gives the answers that wait for this list or an earlier one, and those whose time is over.
    void resolve(endings_number confirmed, base::time_point now);

private:
    struct waiting {
        endings_number list;
        done answer;
        base::time_point deadline;
    };

    base::duration m_time_limit;
    /// Ordered by deadline.
    std::vector<waiting> m_waiting;
};

} // namespace damaskladder::membership
