#pragma once

#include "base/document_version.hpp"

#include <string>

namespace damaskladder::control {

/// The text from which an operator's tool made a change of a whole subtree, kept so that it can be
/// read back as it was sent. The text may hold keys; it stays on the control replicas.
struct settings_document {
    base::document_version version;
    std::string text;

    friend bool operator==(const settings_document&, const settings_document&) = default;
};

} // namespace damaskladder::control
