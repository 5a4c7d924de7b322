#pragma once

#include <cstdint>

namespace damaskladder::node {

/// What a refusal says about the request.
enum class outcome : std::uint8_t {
    /// Certainly not run: no byte of it has reached a backend server.
    not_run,
    /// May have run.
    unknown,
};

} // namespace damaskladder::node
