#pragma once

/// \file
/// routing: which of the announced backend servers gets an attempt.
///
///     routing::router chooser(options);   // one for each service
///     auto node = chooser.choose(servers, {own_domain, already_tried, true, importance}, now);
///     ... the attempt ...
///     chooser.ended(*node, importance, routing::attempt_result::answered, now);
///
/// A router prefers servers of the own failure domain while one there has room, and then takes the
/// less loaded of two random ones. Load is the number of own outstanding calls that are at least as
/// important plus the reported load, by slots. Servers that fail or hang while they claim health
/// are ejected and tested by single requests; never more than half are left out, and if all are
/// ejected none is left out. Servers that drain or leave get nothing. A server that came back
/// starts with a tenth of its part and has all of it after 2 s.
///
/// Contract. choose() counts an outstanding call that one call of ended() takes back. Times never
/// go back. No result is an error: nothing to choose is an ordinary answer.
///
/// Cost: O(announced servers of the service) per choice.

#include "routing/router.hpp"
