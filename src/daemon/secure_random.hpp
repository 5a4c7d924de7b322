#pragma once

#include "base/random_source.hpp"

namespace damaskladder::daemon {

/// Cryptographically secure random values from libsodium.
base::random_source secure_random();

} // namespace damaskladder::daemon
