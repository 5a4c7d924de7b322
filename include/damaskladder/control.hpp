#pragma once

/// \file
/// control: replicated state of settings, reviews, credentials, the audit trail and claims.
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
/// The state machine performs no I/O: it applies committed commands in log order, with the time
/// that the leader assigned to each, and returns replies. Equal options and commands give equal
/// states and replies on every replica. It must be used from one thread and never blocks.
///
/// Versions
///
/// "fleet" and each "teams/TEAM" have a version of their own: the log position of their last
/// change. A change states the version it is based on. Of two changes based on the same version
/// exactly one is accepted; the other gets a conflict with the current version, its author and the
/// difference. Teams do not cause each other conflicts, as they would with a single version for the
/// whole tree. The version of the tree is the newest of these versions; it is used for propagation
/// to nodes.
///
/// Resends
///
/// A change id sent again with the same content gets the same reply, also after a snapshot and
/// restore (replies to the latest 10,000 changes are kept). With different content it gets
/// change_id_reused. The time in the header is not part of the content.
///
/// Review
///
/// A change to paths within a reviewer's subtree gets review_required, whoever makes it; it must be
/// proposed, and approved by a reviewer whose subtree contains those paths. Without a reviewer, an
/// admin may approve. A proposal is closed when it is approved or refused, when its lifetime ends,
/// or when its subtree gets another version. Withdrawing a key needs no review.
///
/// Claims
///
/// A claim grants one attempt the right to run a request. Only that attempt can release or complete
/// it. It is kept until log time reaches the time in its request id plus the retention; older ids,
/// and ids more than two minutes ahead, are refused. Log time must come from the leader's clock: a
/// clock that is far ahead makes ids of correct clocks too old until real time has caught up.
///
/// Audit
///
/// There is one record per changed field, and one for each other command, including refused ones.
/// Records are chained by hash; audit_verifier finds the first that is altered or missing. Key
/// hashes and tokens never appear.
///
/// Errors
///
/// Refusals are regular replies with a verdict. decode_command, decode_reply and restore fail with
/// corrupt or too_large on malformed bytes and never crash.
///
/// Limits
///
/// See state_options, command_bounds.hpp and max_command_size (4 MiB). Options must be equal on all
/// replicas. The caller verifies operators' tokens (credential_table::find), restricts who may
/// submit the first create_credential, and checks may_read before it shows anything.

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
