#pragma once

/// \file
/// admission: decides which calls to a backend server run now, which are queued and which are shed.
///
///     admission::controller control{admission::controller_options{}};
///     std::vector<admission::verdict> out;
///     control.announce(base::slot_count(40), /*cold=*/false, now, out);
///     control.offer({admission::ticket(1), workspace, weight, importance, deadline}, now, out);
///     // out now holds {ticket 1, verdict_kind::start}
///     control.finished(admission::ticket(1), admission::call_outcome::served, latency, now, out);
///
/// controller runs in the gatekeeper. Calls run up to an adaptive concurrency limit that starts at
/// the announced slots and follows measured latency and call outcomes. Further calls wait in a
/// short queue, ordered by importance and then by weighted fair queueing over workspaces. Less
/// important calls are shed first, including calls that are already queued. A call whose deadline
/// has passed or whose caller has disconnected is never started.
///
/// entry_throttle runs in the entry node. It stores the importance level that each gatekeeper
/// reports as shed and refuses requests at or below that level locally, which saves the round trip.
///
/// cold_limit runs in the gatekeeper. It bounds the requests that a cold backend server gets in any
/// one second.
///
/// cpu_load_shedder runs in the entry node. It refuses requests while the serving thread has no
/// idle time.
///
/// tree_throttle runs in the entry node. It sheds requests at the root of their call tree while a
/// service that the tree leads to is short of capacity. pressure_meter and call_tree_model supply
/// the pressure that it uses: the load of a backend server over time, and the downstream routes
/// that the runs of a route call.
///
/// Contract. Each offered call gets exactly one verdict, appended to the vector passed to the
/// function that makes the decision, unless caller_gone() removes the call first. Timestamps must
/// not decrease. Unknown tickets are ignored. The owner calls expire() at or soon after
/// next_deadline().
///
/// Units: monotonic time in microseconds. Cost: less than 1 us per call plus O(log workspaces); the
/// expiry sweep visits each queued call every 10 ms.
///
/// Limits: 250 ms queueing time and 4096 queued calls (controller_options). A call that exceeds a
/// limit gets the verdict shed; this is not an error.

#include "admission/call_tree_model.hpp"
#include "admission/cold_limit.hpp"
#include "admission/controller.hpp"
#include "admission/cpu_load_shedder.hpp"
#include "admission/entry_throttle.hpp"
#include "admission/pressure_meter.hpp"
#include "admission/tree_throttle.hpp"
