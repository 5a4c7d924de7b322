#pragma once

#include "consensus/read_id.hpp"

namespace damaskladder::consensus {

/// Asks for proof that this replica leads now. Ends with one read_confirmed or refused effect.
struct read_requested {
    read_id id;
};

} // namespace damaskladder::consensus
