#pragma once

#include "base/node_id.hpp"

namespace damaskladder::membership {

/// What the failure detector wants done about the node that it observes.
struct detector_action {
    enum class kind {
        /// Ask the node itself for a heartbeat.
        probe,
        /// Tell the other observers and the node that it is suspected.
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
