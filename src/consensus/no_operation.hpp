#pragma once

namespace damaskladder::consensus {

/// Written by a new leader: entries of earlier terms are committed only through one of its own.
struct no_operation {
    friend bool operator==(const no_operation&, const no_operation&) = default;
};

} // namespace damaskladder::consensus
