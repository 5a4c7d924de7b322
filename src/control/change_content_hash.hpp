#pragma once

#include "control/command.hpp"
#include "control/content_hash.hpp"

namespace damaskladder::control {

/// Hash of an operator's command without its time, which may differ in a resend.
content_hash content_hash_of(const command& entry);

} // namespace damaskladder::control
