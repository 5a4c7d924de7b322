#pragma once

#include "base/failure_domain_id.hpp"
#include "control/document_change.hpp"
#include "settings/setting_tree.hpp"

#include <string>

namespace damaskladder::daemon {

/// A parsed call of an operator's tool that reads or writes a whole settings document, or starts or
/// ends the evacuation of a failure domain.
struct operator_call {
    enum class kind {
        unknown,
        malformed,
        read_document,
        put_document,
        start_evacuation,
        end_evacuation
    };

    kind what = kind::unknown;
    /// Set for put_document: the document, and the settings entries translated from it.
    control::document_change change;
    settings::setting_tree entries;
    /// Set for start_evacuation and end_evacuation.
    base::failure_domain_id domain;
    /// Set for malformed: what was expected. Never contains a key.
    std::string problem;
};

} // namespace damaskladder::daemon
