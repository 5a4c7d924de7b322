#pragma once

#include "quota/holder_id.hpp"

namespace damaskladder::quota {

/// From a holder that is about to release its lease: nodes must close all sessions and return their
/// tokens.
struct recall {
    holder_id holder;

    friend bool operator==(const recall&, const recall&) = default;
};

} // namespace damaskladder::quota
