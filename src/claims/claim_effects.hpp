#pragma once

#include "claims/claim.hpp"
#include "claims/claim_complete.hpp"
#include "claims/claim_outcome.hpp"
#include "claims/claim_release.hpp"

#include <variant>
#include <vector>

namespace damaskladder::claims {

/// A submission to the replicated log, or an outcome for the traffic side.
using claim_effect = std::variant<claim, claim_release, claim_complete, claim_outcome>;

using claim_effects = std::vector<claim_effect>;

} // namespace damaskladder::claims
