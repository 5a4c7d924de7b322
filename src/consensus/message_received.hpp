#pragma once

#include "consensus/envelope.hpp"

namespace damaskladder::consensus {

/// A message arrived. Messages may be lost, duplicated or reordered, but not corrupted.
struct message_received {
    envelope received;
};

} // namespace damaskladder::consensus
