#pragma once

#include "consensus/configuration.hpp"
#include "consensus/log_index.hpp"

namespace damaskladder::consensus {

/// A configuration and the entry that put it in force.
struct indexed_configuration {
    log_index index;
    configuration members;
};

} // namespace damaskladder::consensus
