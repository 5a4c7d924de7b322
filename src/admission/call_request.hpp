#pragma once

#include "admission/ticket.hpp"
#include "base/importance.hpp"
#include "base/share_weight.hpp"
#include "base/time.hpp"
#include "base/workspace_id.hpp"

namespace damaskladder::admission {

/// A call that asks to run at the backend server.
struct call_request {
    ticket id;
    /// Whose share it takes. Calls of open routes all take that of one pseudo workspace.
    base::workspace_id workspace;
    base::share_weight weight{1};
    base::importance importance = base::importance::normal;
    base::time_point deadline;
    /// Belongs to an open route; workspace and weight are ignored.
    bool open = false;
};

} // namespace damaskladder::admission
