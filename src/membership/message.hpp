#pragma once

#include "membership/domain_hello.hpp"
#include "membership/domain_states.hpp"
#include "membership/domain_summary.hpp"
#include "membership/domain_update.hpp"
#include "membership/endings_kept.hpp"
#include "membership/endings_query.hpp"
#include "membership/endings_reply.hpp"
#include "membership/heartbeat.hpp"
#include "membership/join.hpp"
#include "membership/keep_endings.hpp"
#include "membership/member_update.hpp"
#include "membership/observer_vote.hpp"
#include "membership/probe.hpp"
#include "membership/subscribe.hpp"
#include "membership/sync_records.hpp"
#include "membership/sync_request.hpp"

#include <variant>

namespace damaskladder::membership {

/// Message of the membership protocol. The sender's node id is part of the sealed envelope.
using message =
    std::variant<heartbeat, member_update, probe, observer_vote, join, sync_request, sync_records,
                 domain_hello, domain_update, domain_summary, subscribe, domain_states,
                 keep_endings, endings_kept, endings_query, endings_reply>;

} // namespace damaskladder::membership
