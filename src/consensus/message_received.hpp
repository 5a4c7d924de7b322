#pragma once

#include "consensus/envelope.hpp"

namespace damaskladder::consensus {

/// A message arrived. Loss, duplication and reordering are allowed; altered content is not.
struct message_received {
    envelope received;
};

} // namespace damaskladder::consensus
