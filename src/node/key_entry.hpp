#pragma once

#include "base/key_id.hpp"
#include "base/workspace_id.hpp"

namespace damaskladder::node {

/// A key of a workspace.
struct key_entry {
    base::key_id key;
    base::workspace_id workspace;
    /// False once the key is withdrawn.
    bool active = true;
};

} // namespace damaskladder::node
