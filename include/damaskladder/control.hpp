#pragma once

/// \file
/// control: the replicated state of settings, reviews, credentials, audit and claims.
///
///     control::state_machine machine;
///     control::create_credential first{{change, name, when}, {name, role, {}, token}};
///     machine.apply({position, log_time}, first);
///     control::change_settings change{header, subtree, machine.version_of(subtree), edit};
///     auto answer = std::get<control::change_reply>(machine.apply(stamp, change));
///     if (answer.verdict == control::change_verdict::conflict) {
///         show(answer.conflict->author, settings::to_string(answer.conflict->difference));
///     }
///
/// The state machine is pure: it applies committed commands in the order of the log, with the time
/// that the leader gave each, and replies. Equal options and commands give equal states and replies
/// on every replica. It belongs to one thread and never blocks.
///
/// Versions
///
/// Each of "fleet" and "teams/TEAM" has its own version: the log position of its last change. A
/// change names the version it is based on, and of two changes that name the same one exactly one
/// is accepted; the other gets a conflict with the present version, its author and the difference.
/// Teams do not get into each other's way, as they would with one version for the whole tree. The
/// tree's own version is the newest of them, for propagation to nodes.
///
/// Resends
///
/// The same change id with the same content gets the same answer, also after a snapshot and restore
/// (the latest 10,000 changes are remembered). With other content it gets change_id_reused. The
/// time in the header is not part of the content.
///
/// Review
///
/// A change to paths that a reviewer's subtree contains gets review_required, whoever makes it; it
/// must be proposed, and approved by a reviewer whose subtree contains those paths. Without a
/// reviewer, an admin may approve. A proposal ends when it is approved or refused, when its
/// lifetime is over, or when its subtree gets another version. Withdrawing a key needs no review.
///
/// Claims
///
/// A claim grants one attempt the right to run a request. Only that attempt can release or complete
/// it. It is kept until the time of its id plus the retention, against log time; older ids, and ids
/// more than two minutes ahead, are refused. Log time must come from the leader's clock: one that
/// is far ahead makes ids of correct clocks too old until real time has caught up.
///
/// Audit
///
/// A record per changed field, and one for each other command, also when it was refused. Records
/// are chained by hash; audit_verifier finds the first that is altered or missing. Key hashes and
/// tokens never appear.
///
/// Errors
///
/// Refusals are ordinary replies with a verdict. decode_command, decode_reply and restore fail with
/// corrupt or too_large on malformed bytes and never crash.
///
/// Limits
///
/// See state_options, command_bounds.hpp and max_command_size (4 MiB). All replicas must have equal
/// options. The caller verifies operators' tokens (credential_table::find), limits who may submit
/// the first create_credential, and asks may_read before it shows anything.

#include "control/audit_line.hpp"
#include "control/audit_query.hpp"
#include "control/audit_verifier.hpp"
#include "control/command.hpp"
#include "control/command_bounds.hpp"
#include "control/command_codec.hpp"
#include "control/digest.hpp"
#include "control/log_stamp.hpp"
#include "control/reply.hpp"
#include "control/state_machine.hpp"
#include "control/state_options.hpp"
#include "control/state_status.hpp"
#include "control/timestamp_text.hpp"
