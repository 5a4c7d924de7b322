#pragma once

#include "control/command.hpp"
#include "control/content_hash.hpp"

namespace damaskladder::control {

/// Hash of an operator's command without its time, which a resend may give anew.
content_hash content_hash_of(const command& entry);

} // namespace damaskladder::control
