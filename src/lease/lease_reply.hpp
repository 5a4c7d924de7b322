#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "lease/lease_request.hpp"
#include "lease/lease_verdict.hpp"

namespace damaskladder::lease {

/// A voter's answer. Contains the request, so that the candidate can match the reply to its round.
struct lease_reply {
    lease_request request;
    base::node_id voter;
    lease_verdict verdict = lease_verdict::abstaining;
    /// Highest epoch that the voter has granted since its start.
    lease_epoch highest_epoch;
    /// For held and abstaining: time on the voter's clock until it can grant.
    base::duration retry_in{};

    friend bool operator==(const lease_reply&, const lease_reply&) = default;
};

} // namespace damaskladder::lease
