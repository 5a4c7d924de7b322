#pragma once

/// \file
/// quota: rate tokens of workspaces, each of which exists once in the whole fleet.
///
///     quota::domain_holder holder(options, {node, incarnation, epoch}, share, lease_end, now);
///     holder.set_quotas(version, {{workspace, rate, burst}}, now);
///     send(holder.on_borrow(message, now));                       // on the lease holder of a
///     domain
///
///     quota::node_quota quota(options, node, incarnation);        // on every node
///     quota.set_quotas(quotas, now, effects);
///     quota.set_holder(holder_id, now, effects);
///     switch (quota.take(workspace, call, deadline, now, effects).verdict) { ... }
///
/// Contract
///  - Requests that took a token and did not give it back: at most rate x time + burst in any
///  window
///    of real time over the whole fleet, if every clock keeps within options.drift and no two
///    holders hold one domain's lease at a time. Rates and bursts count as those in force anywhere.
///  - Each domain accrues its share, from empty when its holder begins. What a domain counts in its
///    part of the burst: the holder's balance, tokens at nodes, and transfers to other domains
///    until those count there.
///  - take() answers at once: taken, refused with a time to ask again, or wait. A wait ends with
///  one
///    wait_ended effect, after the answer of the holder, at the deadline or after options.max_wait.
///  - return_token() returns the token of a call that certainly did not run, once; call settle()
///  when
///    it ran. Tokens given back within headroom_history's 512 ms count again as far as the bound
///    allows as if they had never been used; later ones are lost.
///  - Tokens at a node are valid for the time that the holder's lease covers. What a node that died
///    had, and what was under way to it, is lost.
///  - A newer settings version counts at once. An increase of a domain's share counts after
///    options.share_increase_delay, a decrease at once.
///  - Before a holder gives its lease up, call stop() and wait for drained().
///
/// Messages: totals of a session, or identified by (lender, borrower, number); all may be lost,
/// delayed, repeated and reordered. One message of a node carries the lines of all its workspaces.
/// With bursts of at least 1.6 s of the rate, a node that uses workspaces steadily sends about 7
/// borrows a second for one workspace and 20 for eight, and gets as many lends. Smaller bursts need
/// more (options.prefetch_time). Holders exchange transfers per workspace.
///
/// Units: tokens and rates in millionths; one request costs one_token. Times are on the caller's
/// monotonic clock, which must not stop while the VM is suspended.
///
/// Errors: there are none; a message that does not fit the state has no effect.
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
