#pragma once

#include <cstdint>
#include <functional>

namespace damaskladder::base {

/// Returns a uniformly distributed 64-bit value. Tests pass a seeded generator.
using random_source = std::function<std::uint64_t()>;

} // namespace damaskladder::base
