#pragma once

#include "consensus/configuration.hpp"

namespace damaskladder::consensus {

/// A new configuration has taken effect at this replica, committed or not. Open and close
/// connections accordingly.
struct configuration_changed {
    configuration members;
};

} // namespace damaskladder::consensus
