#pragma once

#include "base/time.hpp"
#include "quota/transfer_number.hpp"

namespace damaskladder::quota {

/// One round of transfer requests to the holders of other domains.
struct peer_round {
    transfer_number number;
    base::time_point sent_at;
};

} // namespace damaskladder::quota
