#pragma once

#include "base/key_hash.hpp"
#include "base/key_id.hpp"
#include "base/team_id.hpp"
#include "base/workspace_id.hpp"
#include "settings/key_state.hpp"

namespace damaskladder::settings {

/// Compiled settings of a workspace's key.
struct key_settings {
    base::key_id id;
    base::team_id team;
    base::workspace_id workspace;
    base::key_hash hash;
    key_state state = key_state::withdrawn;
};

} // namespace damaskladder::settings
