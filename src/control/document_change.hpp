#pragma once

#include "control/settings_document.hpp"

namespace damaskladder::control {

/// Makes a change conditional on the version of the document in force, and replaces that document.
struct document_change {
    /// Document version that the change is based on. If another version is in force, the change
    /// gets a conflict.
    base::document_version based_on;
    /// Its version must be greater than based_on.
    settings_document document;

    friend bool operator==(const document_change&, const document_change&) = default;
};

} // namespace damaskladder::control
