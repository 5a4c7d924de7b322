#pragma once

/// \file
/// claims: the gatekeeper's side of at-most-once execution of non-idempotent requests.
///
///     auto id = claims::timed_request_id::parse(request);       // "<unix seconds>-<opaque>"
///     claims::claim_client client(options, random);
///     apply(client.begin({workspace, request, attempt, node, hash}, deadline, now));
///     apply(client.on_reply(reply, now));                       // gives one claim_outcome
///     // granted: send the request to the backend server, then call exactly one of
///     apply(client.complete(attempt, now));                     // the answer is known
///     apply(client.release(attempt, now));                      // certainly did not start
///     client.forget(attempt);                                   // outcome unknown
///
/// Contract
///  - Each begin() gives exactly one claim_outcome. Only granted permits sending the request to the
///    backend server, and it is given before the deadline's reserve. After any other outcome the
///    attempt must never run.
///  - Submissions are idempotent and are resent until answered. They may be reordered, duplicated
///    or lost. Releases and completions are resent for options.report_retention.
///  - A grant that arrives after another outcome was given, or after a release, is released
///    (again).
///  - Once a byte may have reached the backend server, do not call release().
///
/// Requirements on the log
///  - It applies submissions in one total order. A duplicate claim of the attempt that holds the
///    claim is granted again, unless the claim is done.
///  - A release frees only the claim of its own attempt, and never one that is done.
///  - Preferably, a released attempt is kept like a claim, and a later duplicate of its claim is
///    not granted. Otherwise, if such a duplicate is granted and the reply is lost, the claim stays
///    held until the retention ends.
///  - Ids are kept until id time + retention by the log's own time, and then refused as too_old.
///
/// A gatekeeper that restarts loses its attempts. Their claims stay held, and repeats of the
/// requests get the answer unknown until the retention ends.
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
