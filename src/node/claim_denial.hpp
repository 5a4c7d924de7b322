#pragma once

#include <cstdint>

namespace damaskladder::node {

/// Why a claim was not granted.
enum class claim_denial : std::uint8_t {
    /// Another attempt holds the claim and may have run.
    held,
    /// An attempt with this request id has completed with a response.
    already_answered,
    /// The request id was used with other content.
    other_content,
    /// The request id is malformed or older than the retention time.
    bad_request_id,
    /// No majority of control replicas replied in time.
    unavailable,
};

} // namespace damaskladder::node
