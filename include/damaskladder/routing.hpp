#pragma once

/// \file
/// routing: selects the announced backend server for each attempt.
///
///     routing::router chooser(options); // one per service
///     auto node = chooser.choose(servers, {own_domain, already_tried, true, importance}, now);
///     ... the attempt ...
///     chooser.on_attempt_ended(*node, importance, routing::attempt_result::answered, now);
///
/// A router prefers servers in its own failure domain while one of them has capacity, and selects
/// the less loaded of two random candidates. Load is the number of own outstanding calls of the
/// same or higher importance plus the reported load, divided by the slots. Servers that fail or
/// time out although they report themselves healthy are ejected and probed with single requests. At
/// most half of the servers are excluded, and none if all are ejected. Draining or leaving servers
/// get no attempts. A recovered server starts with a tenth of its load share and reaches the full
/// share after 2 s.
///
/// With placement_options::by_completion, a router instead draws two servers in proportion to their
/// throughput and selects the one with the lower load relative to its limit; domain_spill decides
/// which part of the attempts leaves the own failure domain.
///
/// Contract. Each successful choose() counts one outstanding call and must be followed by exactly
/// one on_attempt_ended(). Timestamps must not decrease. There are no errors: an empty result means
/// that no server is usable.
///
/// Cost: O(announced servers of the service) per choice.

#include "routing/router.hpp"
