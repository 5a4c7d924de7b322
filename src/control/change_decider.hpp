#pragma once

#include "base/time.hpp"
#include "control/approve_proposal.hpp"
#include "control/change_decision.hpp"
#include "control/change_settings.hpp"
#include "control/control_state.hpp"
#include "control/create_credential.hpp"
#include "control/propose_settings.hpp"
#include "control/refuse_proposal.hpp"
#include "control/remove_credential.hpp"
#include "control/set_evacuation.hpp"
#include "control/withdraw_key.hpp"

namespace damaskladder::control {

/// Evaluates operators' commands against the current state and returns the decision to commit.
/// Leaves the state unchanged; it is not const only because settings are validated by applying and
/// undoing a difference.
class change_decider {
public:
    change_decider(control_state& state, base::wall_time now) : m_state(state), m_now(now) {}

    change_decision decide(const change_settings& request);
    change_decision decide(const propose_settings& request);
    change_decision decide(const approve_proposal& request);
    change_decision decide(const refuse_proposal& request);
    change_decision decide(const withdraw_key& request);
    change_decision decide(const create_credential& request);
    change_decision decide(const remove_credential& request);
    change_decision decide(const set_evacuation& request);

private:
    /// Result of the checks shared by direct changes and proposals.
    struct evaluated_edit {
        change_decision decision;
        settings::setting_diff diff;
    };

    evaluated_edit evaluate_edit(const command_header& header,
                                 const settings::setting_path& subtree,
                                 base::settings_version based_on, const settings_edit& edit);
    /// Like evaluate_edit, but the precondition is the document's version instead of the subtree's.
    evaluated_edit evaluate_document(const change_settings& request);
    change_decision make_conflict(base::settings_version based_on,
                                  const settings::setting_path& subtree) const;
    /// Decision on a command for a proposal that is not pending. Reveals nothing to operators of
    /// other subtrees.
    change_decision decide_closed(const base::operator_id& author, proposal_id id) const;
    bool has_overlapping_subtree(const base::operator_id& author,
                                 const settings::setting_path& subtree) const;
    const proposal* find_unexpired(proposal_id id) const;
    /// Whether the pending proposals stay within their limits with this one.
    bool has_room_for(const proposal& opened) const;
    bool requires_review(const settings::setting_diff& diff) const;
    bool may_review(const credential& reviewer, const proposal& target) const;
    bool is_root_admin(const base::operator_id& name) const;

    control_state& m_state;
    base::wall_time m_now;
};

} // namespace damaskladder::control
