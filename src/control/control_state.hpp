#pragma once

#include "base/time.hpp"
#include "control/audit_trail.hpp"
#include "control/claim_table.hpp"
#include "control/credential_table.hpp"
#include "control/log_position.hpp"
#include "control/proposal_table.hpp"
#include "control/reply_cache.hpp"
#include "control/settings_document.hpp"
#include "control/settings_history.hpp"
#include "control/state_options.hpp"
#include "settings/checked_settings.hpp"

namespace damaskladder::control {

/// State produced by applying the replicated log.
struct control_state {
    explicit control_state(const state_options& bounds)
        : options(bounds),
          proposals(bounds.closed_proposals),
          history(bounds.history),
          replies(bounds.cached_replies),
          audit(bounds.audit_records),
          claims(bounds)
    {
    }

    state_options options;
    log_position position;
    base::wall_time time;
    settings::checked_settings settings;
    /// Document that the settings were set from; version 0 if there is none.
    settings_document document;
    credential_table credentials;
    proposal_table proposals;
    settings_history history;
    reply_cache replies;
    audit_trail audit;
    claim_table claims;
};

} // namespace damaskladder::control
