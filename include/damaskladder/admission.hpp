#pragma once

/// \file
/// admission: which calls run at a backend server now, which wait, and which are shed.
///
///     admission::controller control{admission::controller_options{}};
///     std::vector<admission::verdict> verdicts;
///     control.announce(base::slot_count(40), /*cold=*/false, now, verdicts);
///     control.offer({admission::ticket(1), workspace, weight, importance, deadline}, now,
///     verdicts);
///     // verdicts now holds {ticket 1, verdict_kind::start}
///     control.finished(admission::ticket(1), admission::call_outcome::served, latency, now,
///     verdicts);
///
/// controller is the gatekeeper's side. Calls run up to a concurrency limit that starts from the
/// announced slots and follows measured latency and outcomes. Others wait in a short queue, more
/// important ones first and workspaces in turn by weight. Less important calls are shed first, also
/// out of the queue. A call whose deadline passed or whose caller is gone never starts.
///
/// shed_memory is the entry node's side. It remembers the level that a gatekeeper reports with its
/// answers, so that requests which would be shed anyway are refused without the trip.
///
/// Contract. Each offered call gets exactly one verdict, in the vector passed to the function that
/// decides, unless caller_gone() takes it out first. Times never go back. Unknown tickets are
/// ignored. expire() is called at next_deadline() or soon after.
///
/// Units: monotonic time in microseconds. Cost: below one microsecond per call plus O(log
/// workspaces); the sweep of the queue looks at each waiting call every 10 ms.
///
/// Limits: waits of 250 ms, 4096 waiting calls (controller_options). Reaching one is an ordinary
/// verdict, shed.

#include "admission/controller.hpp"
#include "admission/cpu_load_shedder.hpp"
#include "admission/entry_throttle.hpp"
