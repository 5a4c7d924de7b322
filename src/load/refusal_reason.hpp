#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::load {

/// Value of Damaskladder-Reason, empty if there is none.
using refusal_reason = base::strong_id<struct refusal_reason_tag, std::string>;

} // namespace damaskladder::load
