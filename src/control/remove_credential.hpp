#pragma once

#include "base/operator_id.hpp"
#include "control/command_header.hpp"

namespace damaskladder::control {

/// Removes an operator's credential. The last admin of the root cannot be removed.
struct remove_credential {
    command_header header;
    base::operator_id name;

    friend bool operator==(const remove_credential&, const remove_credential&) = default;
};

} // namespace damaskladder::control
