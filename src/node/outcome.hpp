#pragma once

#include <cstdint>

namespace damaskladder::node {

/// What a refusal states about the execution of the request.
enum class outcome : std::uint8_t {
    /// The request has not run: no byte of it has reached a backend server.
    not_run,
    /// The request may have run.
    unknown,
};

} // namespace damaskladder::node
