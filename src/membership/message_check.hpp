#pragma once

#include "membership/membership_limits.hpp"
#include "membership/message.hpp"

namespace damaskladder::membership {

/// True if the record is within the limits and names a node, a domain and a message address.
bool acceptable(const member_record& record, const membership_limits& limits);

/// True if every list and text of the message is within the limits.
bool acceptable(const message& body, const membership_limits& limits);

} // namespace damaskladder::membership
