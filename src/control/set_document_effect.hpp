#pragma once

#include "control/settings_document.hpp"

namespace damaskladder::control {

/// Replaces the settings document in force.
struct set_document_effect {
    settings_document document;
};

} // namespace damaskladder::control
