#pragma once

#include "base/message_address.hpp"

namespace damaskladder::membership {

/// An observer that misses heartbeats asks the node itself, which answers with one.
struct probe {
    base::message_address reply_to;

    friend bool operator==(const probe&, const probe&) = default;
};

} // namespace damaskladder::membership
