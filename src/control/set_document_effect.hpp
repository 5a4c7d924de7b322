#pragma once

#include "control/settings_document.hpp"

namespace damaskladder::control {

/// Puts a settings document into the place of the present one.
struct set_document_effect {
    settings_document document;
};

} // namespace damaskladder::control
