#pragma once

#include "consensus/snapshot.hpp"

#include <memory>

namespace damaskladder::consensus {

/// Replace the state of the state machine by the snapshot.
struct install_snapshot {
    std::shared_ptr<const snapshot> content;
};

} // namespace damaskladder::consensus
