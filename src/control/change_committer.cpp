#include "control/change_committer.hpp"

#include "settings/printable_value.hpp"

#include <utility>

namespace damaskladder::control {

namespace {

const apply_diff_effect* find_apply_diff(const change_decision& decision)
{
    for (const auto& effect : decision.effects) {
        if (const auto* applied = std::get_if<apply_diff_effect>(&effect)) {
            return applied;
        }
    }
    return nullptr;
}

bool opens_proposal(const change_decision& decision)
{
    return !decision.effects.empty() &&
           std::holds_alternative<open_proposal_effect>(decision.effects.front());
}

/// Closes a proposal without an operator's command and appends an audit record without an author.
void close_automatically(control_state& state, proposal_id id, proposal_state final_state,
                         change_verdict verdict, const char* note)
{
    const auto* closing = state.proposals.find_pending(id);
    if (closing == nullptr) {
        return;
    }
    audit_record record;
    record.when = state.time;
    record.path = closing->subtree;
    record.version = state.history.version_of(closing->subtree.versioned_root());
    record.change = closing->header.change;
    record.proposal = id;
    record.verdict = verdict;
    record.note = note;
    state.audit.append(std::move(record));
    state.proposals.close(id, final_state, {}, {});
}

} // namespace

change_reply change_committer::commit(const change_decision& decision)
{
    for (const auto& effect : decision.effects) {
        std::visit([this](const auto& value) { apply_effect(value); }, effect);
    }
    auto reply = decision.reply;
    reply.version = m_state.history.version_of(decision.subject.versioned_root());
    if (opens_proposal(decision)) {
        reply.proposal = proposal_id(m_state.position.value());
    }
    if (const auto* applied = find_apply_diff(decision)) {
        append_field_records(*applied, decision, reply);
        close_conflicting(applied->versioned_root);
        return reply;
    }
    auto record = make_audit_record();
    record.path = decision.subject;
    record.version = reply.version;
    record.proposal = reply.proposal;
    record.verdict = reply.verdict;
    record.note = decision.note;
    m_state.audit.append(std::move(record));
    return reply;
}

void change_committer::expire_proposals(control_state& state)
{
    for (auto id : state.proposals.expired(state.time)) {
        close_automatically(state, id, proposal_state::expired, change_verdict::closed, "expired");
    }
}

void change_committer::apply_effect(const close_proposal_effect& effect)
{
    m_state.proposals.close(effect.id, effect.state, m_header.author, effect.reason);
}

void change_committer::apply_effect(const apply_diff_effect& effect)
{
    base::settings_version version(m_state.position.value());
    m_state.settings.apply(effect.diff);
    m_state.settings.set_version(version);
    m_state.history.append({version, effect.versioned_root, effect.origin.author,
                            effect.origin.change, effect.origin.when, effect.proposal,
                            effect.diff});
}

void change_committer::apply_effect(const open_proposal_effect& effect)
{
    auto opened = effect.opened;
    opened.id = proposal_id(m_state.position.value());
    m_state.proposals.insert(std::move(opened));
}

void change_committer::apply_effect(const add_credential_effect& effect)
{
    m_state.credentials.insert(effect.added);
}

void change_committer::apply_effect(const remove_credential_effect& effect)
{
    m_state.credentials.erase(effect.name);
}

void change_committer::apply_effect(const set_document_effect& effect)
{
    m_state.document = effect.document;
}

void change_committer::close_conflicting(const settings::setting_path& versioned_root)
{
    for (auto id : m_state.proposals.pending_of(versioned_root)) {
        close_automatically(m_state, id, proposal_state::conflict, change_verdict::conflict,
                            "the settings it was based on have changed");
    }
}

void change_committer::append_field_records(const apply_diff_effect& effect,
                                            const change_decision& decision,
                                            const change_reply& reply)
{
    for (const auto& change : effect.diff.changes) {
        auto record = make_audit_record();
        record.path = change.path;
        record.field = change.field;
        record.from = settings::printable_value(change.path, change.field, change.from);
        record.to = settings::printable_value(change.path, change.field, change.to);
        record.version = reply.version;
        record.proposal = reply.proposal;
        record.verdict = reply.verdict;
        record.note = decision.note;
        m_state.audit.append(std::move(record));
    }
}

audit_record change_committer::make_audit_record() const
{
    audit_record record;
    record.who = m_header.author;
    record.when = m_header.when;
    record.change = m_header.change;
    return record;
}

} // namespace damaskladder::control
