#pragma once

/// \file
/// membership: tracks which nodes are alive and which backend servers they announce.
///
///     membership::membership_node node(identity, {.seeds = {address}}, random);
///     perform(node.start(now));                          // then, from the one control thread:
///     perform(node.tick(now));                           // each tick_interval (100 ms)
///     perform(node.receive(envelope.sender, body, now)); // each message of this library
///     leases.announce(request, now);                     // from the local API
///     perform(node.set_backends(leases.backends(), now));
///     auto view = node.view();                           // hand to the traffic threads
///
/// Contract. perform() sends each effect's message to its endpoint; messages may be lost. The
/// sealed envelope authenticates the sender's node id and rejects replays of earlier runs. The
/// endpoint of a seed has an address but no node id. One thread handles all events, one at a time;
/// a view is immutable and may be read by any thread. Time is monotonic; a step backwards counts as
/// no progress.
///
/// A node is alive until it leaves, or until a majority of its observers has received no heartbeat
/// from it for 2.5 s of their own active time. Records are ordered by (incarnation, tombstone,
/// version), so a delayed message cannot mark a node that left as alive. A node that others know
/// under a higher incarnation adopts a still higher one, which self().incarnation returns.
///
/// Units: durations in microseconds, sizes in bytes, slots and connections as counts.
///
/// Errors. No function fails: announcements are answered with an announce_verdict, and messages
/// that exceed membership_limits are dropped and counted by refused_messages().
///
/// Limits: membership_limits. Exceeding one is not an error: lists are truncated, records refused
/// or messages dropped. A full table evicts its oldest tombstone before it refuses a node.

#include "membership/announce_verdict.hpp"
#include "membership/announcement.hpp"
#include "membership/announcement_options.hpp"
#include "membership/announcement_registry.hpp"
#include "membership/effects.hpp"
#include "membership/member_record.hpp"
#include "membership/member_table.hpp"
#include "membership/membership_limits.hpp"
#include "membership/membership_node.hpp"
#include "membership/membership_options.hpp"
#include "membership/message.hpp"
#include "membership/message_check.hpp"
#include "membership/message_size.hpp"
#include "membership/node_identity.hpp"
#include "membership/service_view.hpp"
