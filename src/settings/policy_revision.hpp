#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::settings {

/// Revision of the decision rules that a team has accepted. A node applies the newest revision that
/// it knows and that is not above this one.
using policy_revision = base::strong_id<struct policy_revision_tag, std::uint32_t>;

/// Revision in force for a team that has accepted no other.
inline constexpr policy_revision first_policy_revision{1};

} // namespace damaskladder::settings
