#pragma once

#include "base/random_source.hpp"

namespace damaskladder::daemon {

/// Random values that cannot be predicted, from libsodium.
base::random_source secure_random();

} // namespace damaskladder::daemon
