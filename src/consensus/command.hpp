#pragma once

#include <string>

namespace damaskladder::consensus {

/// State machine command; its bytes are opaque to the log.
struct command {
    std::string bytes;

    friend bool operator==(const command&, const command&) = default;
};

} // namespace damaskladder::consensus
