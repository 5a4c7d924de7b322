#pragma once

#include "control/change_reply.hpp"
#include "control/claim_reply.hpp"

#include <variant>

namespace damaskladder::control {

using reply = std::variant<change_reply, claim_reply>;

} // namespace damaskladder::control
