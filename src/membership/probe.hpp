#pragma once

#include "base/message_address.hpp"

namespace damaskladder::membership {

/// Sent by an observer to a node whose heartbeats are missing. The node answers with a heartbeat.
struct probe {
    base::message_address reply_to;

    friend bool operator==(const probe&, const probe&) = default;
};

} // namespace damaskladder::membership
