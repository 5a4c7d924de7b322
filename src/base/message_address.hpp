#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// IP address and port ("10.1.2.3:7411") on which a process receives messages from other processes.
using message_address = strong_id<struct message_address_tag, std::string>;

} // namespace damaskladder::base
