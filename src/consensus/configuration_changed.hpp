#pragma once

#include "consensus/configuration.hpp"

namespace damaskladder::consensus {

/// Another configuration is in force at this replica, committed or not. Open and close connections.
struct configuration_changed {
    configuration members;
};

} // namespace damaskladder::consensus
