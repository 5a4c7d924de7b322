#pragma once

#include "control/credential.hpp"

namespace damaskladder::control {

/// Adds a credential.
struct add_credential_effect {
    credential added;
};

} // namespace damaskladder::control
