#pragma once

#include "propagation/message.hpp"
#include "propagation/propagation_options.hpp"

namespace damaskladder::propagation {

/// True if every list, text and number of the message is within the limits.
bool within_limits(const message& body, const propagation_options& options);

} // namespace damaskladder::propagation
