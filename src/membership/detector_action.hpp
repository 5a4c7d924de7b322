#pragma once

#include "base/node_id.hpp"

namespace damaskladder::membership {

/// Action that the failure detector requests for an observed node.
struct detector_action {
    enum class kind {
        /// Ask the node itself for a heartbeat.
        probe,
        /// Notify the other observers and the node that the node is suspected.
        cast_vote,
        /// A majority of the observers suspects the node.
        declare_dead,
        /// No other observer says anything about the node.
        declare_unconfirmed,
    };

    kind type = kind::probe;
    base::node_id subject;

    friend bool operator==(const detector_action&, const detector_action&) = default;
};

} // namespace damaskladder::membership
