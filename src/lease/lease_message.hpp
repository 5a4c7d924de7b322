#pragma once

#include "lease/lease_ask.hpp"
#include "lease/lease_give_up.hpp"
#include "lease/lease_reply.hpp"

#include <variant>

namespace damaskladder::lease {

/// Any message of this library.
using lease_message = std::variant<lease_ask, lease_reply, lease_give_up>;

} // namespace damaskladder::lease
