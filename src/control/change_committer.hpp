#pragma once

#include "control/change_decision.hpp"
#include "control/command_header.hpp"
#include "control/control_state.hpp"

namespace damaskladder::control {

/// Applies the effects of decisions at the log position and time of the state, and appends to the
/// audit trail.
class change_committer {
public:
    change_committer(control_state& state, const command_header& header)
        : m_state(state), m_header(header)
    {
    }

    /// Returns the decision's reply with version and proposal filled in.
    change_reply commit(const change_decision& decision);

    /// Closes proposals whose lifetime has ended.
    static void expire_proposals(control_state& state);

private:
    void apply_effect(const close_proposal_effect& effect);
    void apply_effect(const apply_diff_effect& effect);
    void apply_effect(const open_proposal_effect& effect);
    void apply_effect(const add_credential_effect& effect);
    void apply_effect(const remove_credential_effect& effect);
    void apply_effect(const set_document_effect& effect);
    void close_conflicting(const settings::setting_path& versioned_root);
    void append_field_records(const apply_diff_effect& effect, const change_decision& decision,
                              const change_reply& reply);
    audit_record make_audit_record() const;

    control_state& m_state;
    const command_header& m_header;
};

} // namespace damaskladder::control
