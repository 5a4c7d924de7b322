#pragma once

#include "consensus/configuration.hpp"
#include "consensus/log_index.hpp"
#include "consensus/term_number.hpp"

#include <string>

namespace damaskladder::consensus {

/// State of the state machine after the entry at last_index; replaces all entries up to it.
struct snapshot {
    log_index last_index;
    term_number last_term;
    /// Configuration in effect at last_index.
    configuration members;
    /// Encoded state of the state machine; opaque to the log.
    std::string state;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

} // namespace damaskladder::consensus
