#pragma once

/// \file
/// lease: leases granted by a majority of voters, which store their votes in memory only.
///
///     // on each of 1, 3 or 5 voters
///     lease::lease_voter voter(options, node, resource, now);
///     // on each candidate
///     lease::lease_candidate candidate(options, node, incarnation, resource, voters, random);
///     send(candidate.acquire(now));
///     send(candidate.on_reply(reply, now));
///     if (candidate.holds(now)) { ... } // check at each use
///
/// Contract
///  - At most one incarnation holds the lease of a resource at any real time, regardless of lost,
///    delayed or duplicated messages and of stalled or restarted processes, provided that the rate
///    error of every clock is within options.drift and that voters and candidates use equal
///    options.
///  - The hold of a candidate starts when its requests were sent and lasts for the lease duration
///    shortened by the drift.
///  - After its start, a voter abstains for the lease duration lengthened by the drift.
///  - release() ends the hold immediately. Voters that receive the release can grant the lease to
///    another candidate immediately.
///  - A restarted candidate waits until the grant of its previous incarnation ends; that grant can
///    no longer be renewed.
///  - (node, incarnation, epoch) identifies one acquisition uniquely. The epochs of successive
///    holders increase, unless a majority of the voters restarted in between.
///
/// Time is the monotonic clock of the caller's process. It must not stop while the VM is suspended
/// (CLOCK_BOOTTIME on Linux). Clocks of different processes are never compared.
///
/// Message load per candidate: one request to every voter each renew_interval while holding, and at
/// least one each poll_interval + jitter while another candidate holds, unless the holder's notices
/// are passed to on_holder_notice(). Limit the candidates to a few nodes.
///
/// Errors: none; a message that does not match the state is ignored.
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
