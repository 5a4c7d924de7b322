#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::settings {

/// Revision of the decision rules that a team has accepted. A node applies the newest revision that
/// it supports and that does not exceed this one.
using policy_revision = base::strong_id<struct policy_revision_tag, std::uint32_t>;

/// Default for teams that have not accepted another revision.
inline constexpr policy_revision first_policy_revision{1};

} // namespace damaskladder::settings
