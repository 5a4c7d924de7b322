#pragma once

#include "control/credential.hpp"

namespace damaskladder::control {

struct add_credential_effect {
    credential added;
};

} // namespace damaskladder::control
