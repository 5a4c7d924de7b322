#pragma once

#include "base/result.hpp"
#include "membership/announcement.hpp"

#include <string_view>

namespace damaskladder::daemon {

/// Parses an announcement in JSON. Fails with invalid_argument if a member is missing or has the
/// wrong type.
base::result<membership::announcement> parse_announcement(std::string_view text);

} // namespace damaskladder::daemon
