#pragma once

#include "consensus/replica_status.hpp"

namespace damaskladder::consensus {

/// Whether a replica should ask the others to admit it as a member: its log does not name it, or no
/// leader contacts it. A replica that was removed while it was silent does not learn of that from
/// its own log. A leader ignores the request of a present member, so asking during an election is
/// harmless.
bool requests_admission(const replica_status& status);

} // namespace damaskladder::consensus
