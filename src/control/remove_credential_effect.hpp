#pragma once

#include "base/operator_id.hpp"

namespace damaskladder::control {

struct remove_credential_effect {
    base::operator_id name;
};

} // namespace damaskladder::control
