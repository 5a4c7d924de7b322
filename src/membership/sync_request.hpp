#pragma once

#include "base/message_address.hpp"
#include "membership/bucket_digests.hpp"

namespace damaskladder::membership {

/// Asks for the records of all buckets that differ; sent when two digests stay different.
struct sync_request {
    base::message_address reply_to;
    bucket_digests buckets;

    friend bool operator==(const sync_request&, const sync_request&) = default;
};

} // namespace damaskladder::membership
