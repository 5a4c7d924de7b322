#pragma once

#include <cstdint>
#include <functional>

namespace damaskladder::base {

/// Returns a uniformly distributed 64-bit value. Tests pass a generator with a fixed seed.
using random_source = std::function<std::uint64_t()>;

} // namespace damaskladder::base
