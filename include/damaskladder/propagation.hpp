#pragma once

/// \file
/// propagation: distributes settings versions and their freshness from control replicas through
/// relays to nodes.
///
///     propagation::propagation_relay relay(options, hooks, random);   // at every node
///     relay.node().set_upstreams({relay_1, relay_2});                 // or the control replicas
///     perform(relay.tick(now));                                       // every 100 ms
///     perform(relay.receive(envelope.sender, body, now));
///     bool serve = relay.node().staleness(now) <= max_staleness;      // none: no answer yet
///
///     propagation::propagation_source source(options, copy);          // at every control replica
///     perform(source.version_applied(version, difference, now));      // each applied change
///     perform(source.receive(envelope.sender, body, now));            // may set effects.confirm
///     perform(source.read_confirmed(id, now));
///
/// Contract. Settings and differences are opaque bytes; settings_hooks apply and encode them. A
/// node never reverts to an older version, whoever offers it. A source answers a poll only after
/// its replica confirmed, with a quorum and after the poll arrived, that it knew every accepted
/// change. staleness() is therefore an upper bound on the real time for which the applied version
/// may have been outdated, provided that the rate error of each monotonic clock is at most 1 in
/// 1,000 and that the clock keeps counting while its VM is paused. Changes are pushed immediately
/// to nodes that polled within 2 s; a poll every 500 ms recovers lost pushes.
///
/// Units: durations in microseconds, sizes in bytes.
///
/// Errors. If a difference does not fit, a full copy is fetched; if a copy is corrupt, another one
/// is fetched. Messages beyond the limits of propagation_options are dropped and counted.
///
/// Limits: a full copy has at most chunk_bytes x max_chunks_per_copy bytes (16 MiB), recent
/// differences at most 1 MiB; 4,096 pollers, 256 reporting relays and 64 failure domains per
/// server.

#include "propagation/choose_upstreams.hpp"
#include "propagation/confirmation_monitor.hpp"
#include "propagation/domain_status.hpp"
#include "propagation/effects.hpp"
#include "propagation/message.hpp"
#include "propagation/message_check.hpp"
#include "propagation/propagation_node.hpp"
#include "propagation/propagation_options.hpp"
#include "propagation/propagation_relay.hpp"
#include "propagation/propagation_source.hpp"
#include "propagation/replica_list.hpp"
#include "propagation/settings_hooks.hpp"
