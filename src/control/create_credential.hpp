#pragma once

#include "control/command_header.hpp"
#include "control/credential.hpp"

namespace damaskladder::control {

/// Creates an operator's credential. While there is none at all, anyone may create the first one,
/// which must be an admin of the root; the caller restricts who can submit that.
struct create_credential {
    command_header header;
    credential created;

    friend bool operator==(const create_credential&, const create_credential&) = default;
};

} // namespace damaskladder::control
