#pragma once

#include "consensus/append_reply.hpp"
#include "consensus/append_request.hpp"
#include "consensus/pre_vote_reply.hpp"
#include "consensus/pre_vote_request.hpp"
#include "consensus/snapshot_chunk.hpp"
#include "consensus/snapshot_reply.hpp"
#include "consensus/timeout_now.hpp"
#include "consensus/vote_reply.hpp"
#include "consensus/vote_request.hpp"

#include <variant>

namespace damaskladder::consensus {

/// Messages between replicas.
using message =
    std::variant<pre_vote_request, pre_vote_reply, vote_request, vote_reply, append_request,
                 append_reply, snapshot_chunk, snapshot_reply, timeout_now>;

} // namespace damaskladder::consensus
