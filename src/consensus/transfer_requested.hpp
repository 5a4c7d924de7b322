#pragma once

namespace damaskladder::consensus {

/// Asks the leader to transfer its leadership, before a graceful stop. Ends with stepped_down or
/// transfer_abandoned; ignored by a replica that is not the leader.
struct transfer_requested {};

} // namespace damaskladder::consensus
