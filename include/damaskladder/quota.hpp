#pragma once

/// \file
/// quota: distributed token buckets of workspaces. Each token exists once in the whole fleet.
///
///     quota::domain_holder holder(options, {node, incarnation, epoch}, share, lease_end, now);
///     holder.set_quotas(version, {{workspace, rate, burst}}, now);
///     // On the node that holds a domain's lease:
///     send(holder.on_borrow(message, now));
///
///     quota::node_quota quota(options, node, incarnation);        // on every node
///     quota.set_quotas(quotas, now, effects);
///     quota.set_holder(holder_id, now, effects);
///     switch (quota.take(workspace, call, deadline, now, effects).verdict) { ... }
///
/// Contract
///  - The number of requests that took a token and did not return it is at most
///    rate x time + burst in any window of real time, over the whole fleet. This holds if every
///    clock keeps within options.drift and no two holders hold one domain's lease at a time. Rates
///    and bursts are those in force anywhere in the fleet.
///  - Each domain accrues its share, starting from zero when its holder begins. A domain counts
///    against its part of the burst: the holder's balance, tokens at nodes, and transfers to other
///    domains until those count there.
///  - take() returns at once: taken, refused with a retry time, or wait. A wait ends with one
///    wait_ended effect: on the answer of the holder, at the deadline or after options.max_wait.
///  - return_token() returns the token of a call that certainly did not run, once. Call settle()
///    when the call ran. Tokens returned within the 512 ms of headroom_history count as never used
///    as far as the bound allows; tokens returned later are lost.
///  - Tokens at a node are valid for the time that the holder's lease covers. Tokens of a node that
///    died, and those in flight to it, are lost.
///  - A newer settings version takes effect at once. An increase of a domain's share takes effect
///    after options.share_increase_delay, a decrease at once.
///  - Before a holder releases its lease, call stop() and wait for drained().
///
/// Messages carry totals of a session, or are identified by (lender, borrower, number). All may be
/// lost, delayed, duplicated and reordered. One message of a node carries the lines of all its
/// workspaces. With bursts of at least 1.6 s of the rate, a node that uses workspaces steadily
/// sends about 7 borrows a second for one workspace and 20 for eight, and receives as many lends.
/// Smaller bursts need more messages (options.prefetch_time). Holders exchange transfers per
/// workspace.
///
/// Units: tokens and rates in millionths; one request costs one_token. Times are on the caller's
/// monotonic clock, which must not stop while the VM is suspended.
///
/// Errors: none; a message that does not fit the state has no effect.
/// Limits: max_tokens, max_token_rate, options.max_waiting.

#include "quota/domain_holder.hpp"
#include "quota/domain_share.hpp"
#include "quota/holder_id.hpp"
#include "quota/node_effects.hpp"
#include "quota/node_quota.hpp"
#include "quota/quota_message.hpp"
#include "quota/quota_options.hpp"
#include "quota/quota_send.hpp"
#include "quota/return_verdict.hpp"
#include "quota/take_answer.hpp"
#include "quota/take_verdict.hpp"
#include "quota/token_rate.hpp"
#include "quota/tokens.hpp"
#include "quota/wait_ended.hpp"
#include "quota/workspace_quota.hpp"
