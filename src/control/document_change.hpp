#pragma once

#include "control/settings_document.hpp"

namespace damaskladder::control {

/// Makes a change conditional on the document in force, and replaces it.
struct document_change {
    /// The document's version that the author has seen. Another one in force is a conflict.
    base::document_version based_on;
    /// Its version must be above based_on.
    settings_document document;

    friend bool operator==(const document_change&, const document_change&) = default;
};

} // namespace damaskladder::control
