#pragma once

#include "control/document_change.hpp"
#include "settings/setting_tree.hpp"

#include <string>

namespace damaskladder::daemon {

/// A parsed call of an operator's tool that reads or writes a whole settings document.
struct operator_call {
    enum class kind { unknown, malformed, read_document, put_document };

    kind what = kind::unknown;
    /// Set for put_document: the document, and the settings entries translated from it.
    control::document_change change;
    settings::setting_tree entries;
    /// Set for malformed: what was expected. Never contains a key.
    std::string problem;
};

} // namespace damaskladder::daemon
