#pragma once

namespace damaskladder::consensus {

/// Asks a leader to hand over, before a graceful stop. Ends with stepped_down or
/// transfer_abandoned; without effect on a replica that does not lead.
struct transfer_requested {};

} // namespace damaskladder::consensus
