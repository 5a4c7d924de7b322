#pragma once

#include "base/attempt_id.hpp"
#include "base/content_hash.hpp"
#include "base/request_id.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"

namespace damaskladder::node {

/// Effect: requests the claim of a non-idempotent call. The reply is claim_granted or claim_denied.
struct request_claim {
    base::attempt_id attempt;
    base::workspace_id workspace;
    base::request_id request;
    base::content_hash content;
    base::time_point deadline;
};

} // namespace damaskladder::node
