#pragma once

#include "admission/ticket.hpp"
#include "base/importance.hpp"
#include "base/share_weight.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"

namespace damaskladder::admission {

/// A call offered for admission to the backend server.
struct call_request {
    ticket id;
    /// Workspace whose share the call uses. All calls of open routes use one pseudo workspace.
    base::workspace_id workspace;
    base::share_weight weight{1};
    base::importance importance = base::importance::normal;
    base::time_point deadline;
    /// The call belongs to an open route; workspace and weight are ignored.
    bool open = false;
};

} // namespace damaskladder::admission
