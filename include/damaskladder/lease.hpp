#pragma once

/// \file
/// lease: majority leases among voters that keep their votes in memory only.
///
///     lease::lease_voter voter(options, node, resource, now);        // on each of 1, 3 or 5
///     voters lease::lease_candidate candidate(options, node, incarnation, resource, voters,
///     random); send(candidate.want(now)); send(candidate.on_reply(reply, now)); if
///     (candidate.holds(now)) { ... }                              // check at each use
///
/// Contract
///  - At no real time do two incarnations hold the lease of a resource, whatever messages are lost,
///    delayed or duplicated, whichever processes stall or restart, as long as every clock keeps
///    within options.drift and voters and candidates use equal options.
///  - A candidate holds from the time its asks were sent, for the lease shortened by the drift.
///  - A voter abstains for the lease lengthened by the drift after its own start.
///  - give_up() ends the hold at once; the voters that hear it grant to the next candidate at once.
///  - A restarted candidate waits for the end of its earlier incarnation's grant, which may not be
///    renewed any more.
///  - (node, incarnation, epoch) identifies one acquisition for good. Epochs of successive holders
///    grow, except when a majority of voters restarted in between.
///
/// Time is the monotonic clock of the caller's process. It must not stop while the VM is suspended
/// (CLOCK_BOOTTIME on Linux). Clocks of different processes are never compared.
///
/// Messages per candidate: asks to all voters every renew_interval while holding, and at least
/// every poll_interval + jitter while another holds. Restrict candidates to a few nodes.
///
/// Errors: there are none; a message that does not fit the state has no effect.
/// Limits: lease_voter::max_known_candidates.

#include "lease/lease_candidate.hpp"
#include "lease/lease_epoch.hpp"
#include "lease/lease_message.hpp"
#include "lease/lease_options.hpp"
#include "lease/lease_release.hpp"
#include "lease/lease_reply.hpp"
#include "lease/lease_request.hpp"
#include "lease/lease_resource.hpp"
#include "lease/lease_round.hpp"
#include "lease/lease_send.hpp"
#include "lease/lease_verdict.hpp"
#include "lease/lease_voter.hpp"
