#pragma once

#include "base/message_address.hpp"
#include "membership/bucket_digests.hpp"

namespace damaskladder::membership {

/// Requests the records of all buckets whose digests differ; sent when a repair starts.
struct sync_request {
    base::message_address reply_to;
    bucket_digests buckets;

    friend bool operator==(const sync_request&, const sync_request&) = default;
};

} // namespace damaskladder::membership
