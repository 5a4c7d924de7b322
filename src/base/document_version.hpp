#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Version number that an operator assigns to a whole settings document; 0 before the first one.
/// Unlike settings_version, it is chosen by the operator and may have gaps.
using document_version = strong_id<struct document_version_tag, std::uint64_t>;

} // namespace damaskladder::base
