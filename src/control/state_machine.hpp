#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "control/change_decision.hpp"
#include "control/command.hpp"
#include "control/control_state.hpp"
#include "control/log_stamp.hpp"
#include "control/reply.hpp"
#include "control/state_options.hpp"
#include "control/state_status.hpp"
#include "settings/settings_problem.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace damaskladder::control {

/// Applies the commands of the replicated log. Deterministic: equal options, snapshots and commands
/// give equal states and replies on every replica.
class state_machine {
public:
    explicit state_machine(const state_options& options = {}) : m_state(options) {}

    /// Applies a committed command. Positions must increase: a position that was already applied
    /// gives out_of_order and changes nothing.
    reply apply(const log_stamp& stamp, const command& entry);

    /// Returns the reply that apply would give at this log time, except for version and proposal of
    /// accepted commands. Leaves the state unchanged.
    reply pre_check(base::wall_time now, const command& entry);

    /// Serializes the whole state.
    std::vector<std::uint8_t> snapshot() const;
    /// Replaces the state. Fails with corrupt if the bytes are not a snapshot; the state is then
    /// unchanged.
    base::result<void> restore(std::span<const std::uint8_t> bytes);

    // Queries. They do not check permissions; see may_read.

    const settings::setting_tree& tree() const { return m_state.settings.tree(); }
    /// The settings document in force; version 0 if there is none.
    const settings_document& document() const { return m_state.document; }
    /// Version that a change within this path must be based on.
    base::settings_version version_of(const settings::setting_path& path) const;
    std::vector<settings::setting_path> list(const settings::setting_path& root) const;
    /// INI text of a subtree. Submitting it as the new content of the subtree changes nothing.
    std::string export_ini(const settings::setting_path& root) const;
    version_difference difference(base::settings_version from, base::settings_version to,
                                  const settings::setting_path& root) const;
    /// Latest changes to settings within root, newest first.
    std::vector<version_record> history(const settings::setting_path& root,
                                        std::size_t limit) const;
    std::vector<proposal> pending(const settings::setting_path& root) const;
    /// A pending or recently closed proposal; null if unknown.
    const proposal* find_proposal(proposal_id id) const;
    /// Cached reply to a change; null if the change was never applied or its reply has been
    /// evicted.
    const cached_reply* find_cached_reply(const base::change_id& change) const;
    const credential_table& credentials() const { return m_state.credentials; }
    bool may_read(const base::operator_id& name, const settings::setting_path& path) const;
    const audit_trail& audit() const { return m_state.audit; }
    const claim_record* find_claim(const claim_key& key) const;
    state_status status() const;

private:
    void advance(const log_stamp& stamp);
    reply apply_change(const command_header& header, const command& entry);
    change_decision decide(base::wall_time now, const command& entry);

    control_state m_state;
};

} // namespace damaskladder::control
