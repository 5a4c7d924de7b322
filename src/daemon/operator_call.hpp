#pragma once

#include "control/document_change.hpp"
#include "settings/setting_tree.hpp"

#include <string>

namespace damaskladder::daemon {

/// A call of an operator's tool that works with whole settings documents.
struct operator_call {
    enum class kind { unknown, malformed, read_document, put_document };

    kind what = kind::unknown;
    /// With put_document: the document, and the entries of the subtree that it stands for.
    control::document_change change;
    settings::setting_tree entries;
    /// With malformed: what was expected. Never repeats a key.
    std::string problem;
};

} // namespace damaskladder::daemon
