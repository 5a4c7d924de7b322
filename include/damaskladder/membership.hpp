#pragma once

/// \file
/// membership: which nodes are alive, and which backend servers they announce.
///
///     membership::membership_node node(identity, {.seeds = {address}}, random);
///     perform(node.start(now));                          // then, from the one control thread:
///     perform(node.tick(now));                           // each tick_interval (100 ms)
///     perform(node.receive(envelope.sender, body, now)); // each message of this library
///     leases.announce(offer, now);                       // from the local API
///     perform(node.set_backends(leases.backends(), now));
///     auto view = node.view();                           // hand to the traffic threads
///
/// Contract. perform() sends each effect's message to its endpoint and may lose it. The sealed
/// envelope proves the sender's node id and keeps out replays of earlier runs; a seed's endpoint
/// has an address but no node id. Events are handled one at a time by one thread; a view is
/// immutable and may be read by any thread. Time is monotonic; steps back are taken as standing
/// still.
///
/// A node is alive until it leaves, or until a majority of its observers has not heard it for 2.5 s
/// of their own awake time. Its order of records is (incarnation, tombstone, version), so that no
/// old message revives what left; a node that others remember under a higher incarnation takes a
/// higher one itself, and self().incarnation tells which.
///
/// Units: durations in microseconds, sizes in bytes, slots and connections as counts.
///
/// Errors. Nothing fails: announcements get an announce_verdict, and messages beyond
/// membership_limits are dropped and counted by refused_messages().
///
/// Limits: membership_limits. Passing one is ordinary: lists are cut, records refused, messages
/// dropped, and a full table gives up its oldest tombstone before it refuses a node.

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
