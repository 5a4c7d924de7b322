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

/// Replica of the log. Has no threads, clock, files or sockets of its own; not thread-safe.
class replica {
public:
    replica(replica_options options, recovered_state state, base::random_source random);
    ~replica();
    replica(replica&&) noexcept;
    replica& operator=(replica&&) noexcept;
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Must be called once, before the first event. Emits the recovered snapshot, if any, for the
    /// state machine.
    std::vector<effect> start(base::time_point now);

    /// Handles one event and returns the effects, which must be carried out in order. now must not
    /// decrease.
    std::vector<effect> handle(event happened, base::time_point now);

    replica_status status() const;

private:
    std::unique_ptr<replica_core> m_core;
};

} // namespace damaskladder::consensus
