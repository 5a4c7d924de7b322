#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::control {

/// Identifies a command or query submitted to a control replica; chosen by the caller, unique
/// within its process.
using submission_id = base::strong_id<struct submission_id_tag, std::uint64_t>;

} // namespace damaskladder::control
