#pragma once

#include "base/incarnation.hpp"
#include "base/message_address.hpp"
#include "base/node_id.hpp"
#include "membership/observer_verdict.hpp"

namespace damaskladder::membership {

/// Verdict of an observer on a node, sent to the node's other observers and to the node itself.
struct observer_vote {
    base::node_id subject;
    base::incarnation incarnation;
    observer_verdict verdict = observer_verdict::confirms;
    base::message_address reply_to;

    friend bool operator==(const observer_vote&, const observer_vote&) = default;
};

} // namespace damaskladder::membership
