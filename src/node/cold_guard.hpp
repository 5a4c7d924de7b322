#pragma once

#include "admission/cold_limit.hpp"
#include "base/importance.hpp"
#include "base/time.hpp"
#include "node/local_backend_server.hpp"

namespace damaskladder::node {

/// Applies the limit for cold servers to the local backend server of one service. The server counts
/// as cold while it has announced so, and while nothing has been heard from it since its state
/// became unknown. Without a limit in the settings it has no effect.
class cold_guard {
public:
    /// Takes over the announcement and the limit from the view.
    void update(const local_backend_server& server, base::time_point node_started);
    /// The state of the server is unknown until its next announcement, as a connection to it has
    /// failed or it gets requests again after a time without.
    void state_unknown(base::time_point now);

    bool is_cold(base::time_point now) const;
    /// Records a request that arrives.
    void offered(base::importance level, base::time_point now) { m_limit.offered(level, now); }
    bool allows(base::importance level, base::time_point now) const;
    /// Records a request that is sent.
    void take(base::importance level, base::time_point now) { m_limit.take(level, now); }
    /// Part of the limit that is used up, 0 to 1. Zero while the server is warm.
    double used_share(base::time_point now) const;

private:
    admission::cold_limit m_limit;
    base::time_point m_cold_until{base::time_point::min()};
    base::time_point m_announced_at{base::time_point::min()};
    base::time_point m_unknown_since{base::time_point::min()};
};

} // namespace damaskladder::node
