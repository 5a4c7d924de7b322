#pragma once

#include "lease/lease_release.hpp"
#include "lease/lease_reply.hpp"
#include "lease/lease_request.hpp"

#include <variant>

namespace damaskladder::lease {

/// Any message of this library.
using lease_message = std::variant<lease_request, lease_reply, lease_release>;

} // namespace damaskladder::lease
