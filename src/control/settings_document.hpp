#pragma once

#include "base/document_version.hpp"

#include <string>

namespace damaskladder::control {

/// Text from which an operator's tool derived a change of a whole subtree, stored so that it can be
/// read back verbatim. The text may contain keys; it stays on the control replicas.
struct settings_document {
    base::document_version version;
    std::string text;

    friend bool operator==(const settings_document&, const settings_document&) = default;
};

} // namespace damaskladder::control
