#pragma once

#include "quota/holder_id.hpp"

namespace damaskladder::quota {

/// From a holder that is about to give up its lease: close all sessions and give tokens back.
struct recall {
    holder_id holder;

    friend bool operator==(const recall&, const recall&) = default;
};

} // namespace damaskladder::quota
