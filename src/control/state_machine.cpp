#include "control/state_machine.hpp"

#include "control/change_committer.hpp"
#include "control/change_content_hash.hpp"
#include "control/change_decider.hpp"
#include "control/command_bounds.hpp"
#include "control/snapshot_codec.hpp"
#include "settings/ini_writer.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace damaskladder::control {

namespace {

change_reply make_change_reply(change_verdict verdict)
{
    change_reply answer;
    answer.verdict = verdict;
    return answer;
}

bool is_claim_command(const command& entry)
{
    return std::holds_alternative<claim_request>(entry) ||
           std::holds_alternative<release_claim>(entry) ||
           std::holds_alternative<complete_claim>(entry);
}

reply out_of_order(const command& entry)
{
    if (is_claim_command(entry)) {
        return claim_reply{claim_verdict::out_of_order, {}, {}};
    }
    return make_change_reply(change_verdict::out_of_order);
}

/// Cached reply for a resend, or change_id_reused if the content differs.
change_reply reply_to_resend(const cached_reply& cached, const command& entry)
{
    if (cached.content == content_hash_of(entry)) {
        return cached.answer;
    }
    return make_change_reply(change_verdict::change_id_reused);
}

} // namespace

reply state_machine::apply(const log_stamp& stamp, const command& entry)
{
    if (stamp.position <= m_state.position) {
        return out_of_order(entry);
    }
    advance(stamp);
    if (const auto* header = header_of(entry)) {
        return apply_change(*header, entry);
    }
    return std::visit(
        [this](const auto& value) -> reply {
            if constexpr (requires { value.attempt; }) {
                return m_state.claims.apply(value, m_state.time);
            }
            return make_change_reply(change_verdict::accepted);
        },
        entry);
}

reply state_machine::pre_check(base::wall_time now, const command& entry)
{
    now = std::max(now, m_state.time);
    if (const auto* header = header_of(entry)) {
        if (!is_well_formed(*header)) {
            return make_change_reply(change_verdict::malformed);
        }
        if (const auto* cached = m_state.replies.find(header->change)) {
            return reply_to_resend(*cached, entry);
        }
        return decide(now, entry).reply;
    }
    return std::visit(
        [&](const auto& value) -> reply {
            if constexpr (requires { value.attempt; }) {
                return m_state.claims.check(value, now);
            }
            return make_change_reply(change_verdict::accepted);
        },
        entry);
}

std::vector<std::uint8_t> state_machine::snapshot() const
{
    return encode_snapshot(m_state);
}

base::result<void> state_machine::restore(std::span<const std::uint8_t> bytes)
{
    control_state restored(m_state.options);
    BOOST_LEAF_CHECK(decode_snapshot(bytes, restored));
    m_state = std::move(restored);
    return {};
}

base::settings_version state_machine::version_of(const settings::setting_path& path) const
{
    return m_state.history.version_of(path.versioned_root());
}

std::vector<settings::setting_path> state_machine::list(const settings::setting_path& root) const
{
    std::vector<settings::setting_path> paths;
    for (const auto& [path, entry] : tree()) {
        if (path.is_within(root)) {
            paths.push_back(path);
        }
    }
    return paths;
}

std::string state_machine::export_ini(const settings::setting_path& root) const
{
    return settings::write_ini(tree().subtree(root));
}

version_difference state_machine::difference(base::settings_version from, base::settings_version to,
                                             const settings::setting_path& root) const
{
    return m_state.history.net_difference(from, to, root);
}

std::vector<version_record> state_machine::history(const settings::setting_path& root,
                                                   std::size_t limit) const
{
    std::vector<version_record> found;
    const auto& records = m_state.history.records();
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        const auto& changes = record->diff.changes;
        bool touches = std::any_of(changes.begin(), changes.end(),
                                   [&](const auto& change) { return change.path.is_within(root); });
        if (touches && found.size() < limit) {
            found.push_back(*record);
        }
    }
    return found;
}

std::vector<proposal> state_machine::pending(const settings::setting_path& root) const
{
    std::vector<proposal> found;
    for (const auto& [id, entry] : m_state.proposals.pending()) {
        if (entry.subtree.is_within(root)) {
            found.push_back(entry);
        }
    }
    return found;
}

const proposal* state_machine::find_proposal(proposal_id id) const
{
    const auto* found = m_state.proposals.find_pending(id);
    return found != nullptr ? found : m_state.proposals.find_closed(id);
}

const cached_reply* state_machine::find_cached_reply(const base::change_id& change) const
{
    return m_state.replies.find(change);
}

bool state_machine::may_read(const base::operator_id& name,
                             const settings::setting_path& path) const
{
    const auto* found = m_state.credentials.find(name);
    return found != nullptr && path.is_within(found->subtree);
}

const claim_record* state_machine::find_claim(const claim_key& key) const
{
    return m_state.claims.find(key);
}

state_status state_machine::status() const
{
    state_status summary;
    summary.position = m_state.position;
    summary.time = m_state.time;
    summary.version = tree().version();
    summary.entries = tree().size();
    summary.credentials = m_state.credentials.size();
    summary.pending_proposals = m_state.proposals.pending().size();
    summary.claims = m_state.claims.size();
    summary.audit_head = m_state.audit.head();
    return summary;
}

void state_machine::advance(const log_stamp& stamp)
{
    m_state.position = stamp.position;
    m_state.time = std::max(m_state.time, stamp.time);
    m_state.claims.expire(m_state.time);
    change_committer::expire_proposals(m_state);
}

reply state_machine::apply_change(const command_header& header, const command& entry)
{
    if (!is_well_formed(header)) {
        return make_change_reply(change_verdict::malformed);
    }
    if (const auto* cached = m_state.replies.find(header.change)) {
        return reply_to_resend(*cached, entry);
    }
    auto decision = decide(m_state.time, entry);
    auto answer = change_committer(m_state, header).commit(decision);
    m_state.replies.insert({header.change, content_hash_of(entry), m_state.position, answer});
    return answer;
}

change_decision state_machine::decide(base::wall_time now, const command& entry)
{
    change_decider decider(m_state, now);
    return std::visit(
        [&](const auto& value) -> change_decision {
            if constexpr (requires { value.header; }) {
                return decider.decide(value);
            }
            return {};
        },
        entry);
}

} // namespace damaskladder::control
