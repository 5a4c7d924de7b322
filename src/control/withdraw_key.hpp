#pragma once

#include "base/key_id.hpp"
#include "control/command_header.hpp"

namespace damaskladder::control {

/// Withdraws a key. Requires no base version and no review, so that nothing delays it.
struct withdraw_key {
    command_header header;
    base::key_id key;

    friend bool operator==(const withdraw_key&, const withdraw_key&) = default;
};

} // namespace damaskladder::control
