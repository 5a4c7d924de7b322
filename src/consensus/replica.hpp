#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"
#include "consensus/effect.hpp"
#include "consensus/event.hpp"
#include "consensus/recovered_state.hpp"
#include "consensus/replica_options.hpp"
#include "consensus/replica_status.hpp"

#include <memory>
#include <vector>

namespace damaskladder::consensus {

class replica_core;

/// One replica of the log. Holds no thread, clock, file or socket; not thread-safe.
class replica {
public:
    replica(replica_options options, recovered_state state, base::random_source random);
    ~replica();
    replica(replica&&) noexcept;
    replica& operator=(replica&&) noexcept;
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Call once, before the first event. Installs the recovered snapshot in the state machine.
    std::vector<effect> start(base::time_point now);

    /// Handles one event. now never goes back. Carry out the effects in order.
    std::vector<effect> handle(event happened, base::time_point now);

    replica_status status() const;

private:
    std::unique_ptr<replica_core> m_core;
};

} // namespace damaskladder::consensus
