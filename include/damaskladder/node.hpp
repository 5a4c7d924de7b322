#pragma once

/// \file
/// node: the façade of a node, driven event by event. This header holds the traffic half.
///
///     node::traffic_machine machine(options);
///     std::vector<node::effect> effects;
///     machine.handle(node::request_arrived{...}, view, now, effects);
///     for (const auto& wanted : effects) { perform(wanted); }
///     wake_up_at(machine.next_deadline());
///
/// Contract. One traffic thread owns a machine and calls handle() with each event in the order in
/// which it saw them, with the newest node_view and the present time. Times never go back. All
/// effects are performed in order. Events about exchanges and transfers that have ended are
/// ignored, so the front end need not filter them. A tick comes at least every 10 ms while
/// next_deadline() is set.
///
/// An exchange (inbound request) begins with request_arrived, onward_call_arrived or call_arrived
/// and ends with exactly one of refuse, replay_response, abort_response, response_finished of its
/// relayed transfer, or caller_disconnected. A transfer (outbound request) begins with
/// forward_to_gatekeeper or start_at_backend_server and ends with connect_failed, transfer_failed,
/// gatekeeper_refused, response_finished or cancel_transfer.
///
/// What the front end must be certain of: connect_failed means that no byte of the request was
/// sent. transfer_connected comes before the first byte is sent. A refusal with outcome::not_run
/// is given only while no byte may have reached a backend server.
///
/// Units are those of base: monotonic time in microseconds, sizes in bytes. Errors are ordinary
/// results: each ends in a refuse effect with a reason, a status and an outcome.
///
/// Limits: paths of 8192 bytes, 16 calls in a chain, kept answers of 64 KiB for 30 s (see
/// traffic_options and retry.hpp).

#include "node/effect.hpp"
#include "node/event.hpp"
#include "node/node_view.hpp"
#include "node/traffic_machine.hpp"
#include "node/traffic_options.hpp"
