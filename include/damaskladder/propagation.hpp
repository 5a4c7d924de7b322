#pragma once

/// \file
/// propagation: settings versions and freshness, from control replicas through relays to nodes.
///
///     propagation::propagation_relay relay(options, hooks, random);   // at every node
///     relay.node().set_upstreams({relay_1, relay_2});                 // or the control replicas
///     perform(relay.tick(now));                                       // each 100 ms
///     perform(relay.receive(envelope.sender, body, now));
///     bool serve = relay.node().staleness(now) <= max_staleness;      // none: never heard
///
///     propagation::propagation_source source(options, copy);          // at every control replica
///     perform(source.changed(version, difference, now));              // each applied change
///     perform(source.receive(envelope.sender, body, now));            // effects.confirm: ask it
///     perform(source.read_confirmed(id, now));
///
/// Contract. Settings and differences are opaque bytes; settings_hooks apply and encode them. A
/// node never goes to an older version, whoever offers it. A source answers a poll only after its
/// replica confirmed, with a quorum and after the poll arrived, that it knew every accepted change;
/// so staleness() is an upper bound of the real time since which the version in force may not have
/// been the newest, provided that each monotonic clock keeps within 1 in 1,000 and goes on counting
/// while its VM is paused. Changes are sent at once to those who polled within 2 s; a poll each 500
/// ms makes up for lost ones.
///
/// Units: durations in microseconds, sizes in bytes.
///
/// Errors. A difference that does not fit leads to a full copy, a copy that is damaged to another
/// one. Messages beyond the bounds of propagation_options are dropped and counted.
///
/// Limits: a full copy has at most chunk_bytes x chunks_per_copy bytes (16 MiB), recent differences
/// at most 1 MiB; 4,096 pollers, 256 reporting relays and 64 failure domains per server.

#include "propagation/domain_status.hpp"
#include "propagation/effects.hpp"
#include "propagation/message.hpp"
#include "propagation/message_check.hpp"
#include "propagation/propagation_node.hpp"
#include "propagation/propagation_options.hpp"
#include "propagation/propagation_relay.hpp"
#include "propagation/propagation_source.hpp"
#include "propagation/settings_hooks.hpp"
