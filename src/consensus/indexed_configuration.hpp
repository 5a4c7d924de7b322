#pragma once

#include "consensus/configuration.hpp"
#include "consensus/log_index.hpp"

namespace damaskladder::consensus {

/// Configuration with the index of the entry that contains it.
struct indexed_configuration {
    log_index index;
    configuration members;
};

} // namespace damaskladder::consensus
