#pragma once

/// \file
/// claims: the gatekeeper's side of at-most-once for non-idempotent requests.
///
///     auto id = claims::timed_request_id::parse(request);       // "<unix seconds>-<opaque>"
///     claims::claim_client client(options, random);
///     apply(client.begin({workspace, request, attempt, node, hash}, deadline, now));
///     apply(client.on_reply(reply, now));                       // gives one claim_outcome
///     // granted: hand over, then exactly one of
///     apply(client.complete(attempt, now));                     // the answer is known
///     apply(client.release(attempt, now));                      // certainly did not start
///     client.leave(attempt);                                    // unknown
///
/// Contract
///  - Each begin() gives exactly one claim_outcome. Only granted permits a hand-over, and it comes
///    before the deadline's reserve. After any other outcome the attempt never runs.
///  - Submissions keep their identity and are sent again until answered, in any order, repeated or
///    lost. Releases and completions are kept for options.report_retention.
///  - A grant that arrives after the client gave up, or after a release, is released (again).
///  - Once a byte may have reached the backend server, do not call release().
///
/// What it needs of the log
///  - One order; a claim of the attempt that has it is granted again unless it is done.
///  - A release frees only the claim of its attempt, and never one that is done.
///  - Best also: a released attempt is remembered like a claim, and a later copy of its claim is
///  not
///    granted. Without that, such a grant whose reply is lost stays until the retention ends.
///  - Ids are kept until id time + retention by the log's own time, then refused as too_old.
///
/// A gatekeeper that restarts forgets its attempts: their claims stay held, and repeats get unknown
/// until the retention ends.
///
/// Errors: parse() fails with invalid_argument or too_large; nothing else fails. A call that does
/// not fit an attempt's state has no effect. Limits: options.max_attempts,
/// timed_request_id::max_length.

#include "claims/claim.hpp"
#include "claims/claim_ack.hpp"
#include "claims/claim_client.hpp"
#include "claims/claim_complete.hpp"
#include "claims/claim_effects.hpp"
#include "claims/claim_options.hpp"
#include "claims/claim_outcome.hpp"
#include "claims/claim_release.hpp"
#include "claims/claim_reply.hpp"
#include "claims/claim_status.hpp"
#include "claims/claim_verdict.hpp"
#include "claims/content_hash.hpp"
#include "claims/request_id_age.hpp"
#include "claims/timed_request_id.hpp"
