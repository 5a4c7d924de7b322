#pragma once

#include <string>

namespace damaskladder::consensus {

/// Opaque bytes for the state machine.
struct command {
    std::string bytes;

    friend bool operator==(const command&, const command&) = default;
};

} // namespace damaskladder::consensus
