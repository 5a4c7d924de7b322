#pragma once

/// \file
/// node: the event-driven façade of a node. This header covers the handling of traffic.
///
///     node::traffic_machine machine(options);
///     std::vector<node::effect> effects;
///     machine.handle(node::request_arrived{...}, view, now, effects);
///     for (const auto& effect : effects) { perform(effect); }
///     wake_up_at(machine.next_deadline());
///
/// Contract. One traffic thread owns a machine and calls handle() for each event in order of
/// occurrence, with the newest node_view and the current time. Times must not decrease. All effects
/// must be performed in order. Events about exchanges and transfers that have ended are ignored, so
/// the front end need not filter them. The front end delivers a tick at least every 10 ms while
/// next_deadline() is set.
///
/// An exchange (inbound request) begins with request_arrived, onward_call_arrived or call_arrived
/// and ends with exactly one of refuse, replay_response, abort_response, response_finished of its
/// relayed transfer, or caller_disconnected. A transfer (outbound request) begins with
/// forward_to_gatekeeper or start_at_backend_server and ends with connect_failed, transfer_failed,
/// gatekeeper_refused, response_finished or cancel_transfer.
///
/// The front end must guarantee that it reports connect_failed only if no byte of the request was
/// sent, and transfer_connected before the first byte is sent. In return, a refusal has
/// outcome::not_run only if no byte can have reached a backend server.
///
/// Units are those of base: monotonic time in microseconds, sizes in bytes. An error is reported as
/// a refuse effect with a reason, a status and an outcome.
///
/// Limits: paths of 8192 bytes, 16 calls in a chain, kept responses of 64 KiB for 30 s (see
/// traffic_options and retry.hpp).

#include "node/effect.hpp"
#include "node/event.hpp"
#include "node/node_view.hpp"
#include "node/traffic_machine.hpp"
#include "node/traffic_options.hpp"
