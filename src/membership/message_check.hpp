#pragma once

#include "membership/membership_limits.hpp"
#include "membership/message.hpp"

namespace damaskladder::membership {

/// True if the record is within the limits and has a node id, a failure domain and a message
/// address.
bool acceptable(const member_record& record, const membership_limits& limits);

/// True if all lists and strings of the message are within the limits.
bool acceptable(const message& body, const membership_limits& limits);

} // namespace damaskladder::membership
