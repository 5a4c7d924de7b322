#pragma once

#include "control/command_header.hpp"
#include "control/credential.hpp"

namespace damaskladder::control {

/// Creates an operator's credential. While there are no credentials, anyone may create the first
/// one, which must be an admin of the root; the caller restricts who can submit it.
struct create_credential {
    command_header header;
    credential created;

    friend bool operator==(const create_credential&, const create_credential&) = default;
};

} // namespace damaskladder::control
