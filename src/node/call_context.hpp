#pragma once

#include "base/call_depth.hpp"
#include "base/call_id.hpp"
#include "base/chain_id.hpp"
#include "base/importance.hpp"
#include "base/key_id.hpp"
#include "base/node_id.hpp"
#include "base/request_id.hpp"
#include "base/retry_count.hpp"
#include "base/route_id.hpp"
#include "base/service_id.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"

namespace damaskladder::node {

/// The metadata of a call that is passed between nodes instead of the key. This is the plaintext
/// form; the front end encrypts and decrypts it.
struct call_context {
    /// Empty on open routes.
    base::workspace_id workspace;
    /// Empty on open routes.
    base::key_id key;
    /// Version of the settings by which the issuer admitted the call.
    base::settings_version settings;
    base::request_id request;
    base::chain_id chain;
    /// Random, new for each attempt. Onward calls name it as their parent.
    base::call_id call;
    base::call_depth depth;
    /// Time left when the context was sealed. Relative, because clocks of nodes may differ.
    base::duration budget{};
    base::importance importance = base::importance::normal;
    /// Extra attempts lent to this call and all calls below it.
    base::retry_count allowance;
    bool idempotent = true;
    /// Whether a call that is not idempotent needs a claim; see route_entry.
    bool claimed = true;
    /// The answer may be large; see route_entry.
    bool streaming = false;
    /// Route by which the entry node admitted the call.
    base::route_id route;
    /// Service of the VM that sent the original request; empty if unknown.
    base::service_id origin;
    base::node_id issuer;
};

} // namespace damaskladder::node
