#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::load {

/// Value of the header Damaskladder-Reason; empty if the header is missing.
using refusal_reason = base::strong_id<struct refusal_reason_tag, std::string>;

} // namespace damaskladder::load
