#pragma once

#include "base/change_id.hpp"
#include "base/operator_id.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "control/audit_sequence.hpp"
#include "control/chain_hash.hpp"
#include "control/change_verdict.hpp"
#include "control/proposal_id.hpp"
#include "settings/field_name.hpp"
#include "settings/setting_path.hpp"

#include <string>

namespace damaskladder::control {

/// One line of the audit trail: a field that changed, or a command that changed no field.
struct audit_record {
    audit_sequence sequence;
    /// Empty for events caused by log time, such as the expiry of a proposal.
    base::operator_id who;
    /// Calendar time given by the operator; log time if there is no operator.
    base::wall_time when;
    settings::setting_path path;
    settings::field_name field;
    /// Values with secrets replaced by ids.
    std::string from;
    std::string to;
    /// Version of the subtree after the command.
    base::settings_version version;
    base::change_id change;
    proposal_id proposal;
    change_verdict verdict = change_verdict::accepted;
    /// Reason of a refusal, or what was done to a credential or proposal.
    std::string note;
    chain_hash previous;
    chain_hash hash;

    friend bool operator==(const audit_record&, const audit_record&) = default;
};

} // namespace damaskladder::control
