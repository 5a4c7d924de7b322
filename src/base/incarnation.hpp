#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Distinguishes one run of a process from its earlier runs; larger is newer.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

} // namespace damaskladder::base
