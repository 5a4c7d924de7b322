#include "control/change_decider.hpp"

#include "control/command_bounds.hpp"
#include "settings/value_parsers.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::control {

namespace {

change_decision refusal(change_verdict verdict, std::string note = {})
{
    change_decision decision;
    decision.reply.verdict = verdict;
    decision.note = std::move(note);
    return decision;
}

settings::setting_path credential_path(const base::operator_id& name)
{
    auto path = settings::setting_path::parse("credentials/" + name.value());
    return path.value_or(settings::setting_path());
}

/// May change settings within the subtree.
bool may_change(const credential* author, const settings::setting_path& subtree)
{
    return author != nullptr && author->role != credential_role::reviewer &&
           subtree.is_within(author->subtree);
}

settings::settings_problem outside_of(const settings::setting_path& subtree,
                                      const settings::setting_path& path)
{
    return {settings::problem_kind::unknown_path, {}, {}, path, {},
            "paths within " + subtree.text()};
}

/// First path of the edit that is not within the subtree, or null.
const settings::setting_path* find_outside(const settings_edit& edit,
                                           const settings::setting_path& subtree)
{
    if (const auto* diff = std::get_if<settings::setting_diff>(&edit)) {
        for (const auto& change : diff->changes) {
            if (!change.path.is_within(subtree)) {
                return &change.path;
            }
        }
        return nullptr;
    }
    for (const auto& [path, entry] : std::get<settings::setting_tree>(edit)) {
        if (!path.is_within(subtree)) {
            return &path;
        }
    }
    return nullptr;
}

settings::setting_diff diff_of(const settings_edit& edit, const settings::setting_path& subtree,
                               const settings::setting_tree& present)
{
    if (const auto* diff = std::get_if<settings::setting_diff>(&edit)) {
        return *diff;
    }
    return settings::difference(present.subtree(subtree), std::get<settings::setting_tree>(edit));
}

} // namespace

change_decision change_decider::decide(const change_settings& asked)
{
    auto judged = asked.document
                      ? judge_document(asked)
                      : judge_edit(asked.header, asked.subtree, asked.based_on, asked.edit);
    auto& decision = judged.decision;
    if (decision.reply.verdict != change_verdict::accepted) {
        return decision;
    }
    if (needs_review(judged.diff)) {
        decision.reply.verdict = change_verdict::review_required;
        return decision;
    }
    decision.effects.emplace_back(apply_diff_effect{asked.subtree.versioned_root(), asked.header,
                                                    proposal_id(), std::move(judged.diff)});
    if (asked.document) {
        decision.effects.emplace_back(set_document_effect{asked.document->document});
    }
    return decision;
}

change_decision change_decider::decide(const propose_settings& asked)
{
    if (asked.lifetime < min_proposal_lifetime || asked.lifetime > max_proposal_lifetime) {
        return refusal(change_verdict::malformed);
    }
    auto judged = judge_edit(asked.header, asked.subtree, asked.based_on, asked.edit);
    auto& decision = judged.decision;
    if (decision.reply.verdict != change_verdict::accepted) {
        return decision;
    }
    const auto& pending = m_state.proposals.pending();
    auto live = std::count_if(pending.begin(), pending.end(),
                              [this](const auto& entry) { return entry.second.expires > m_now; });
    if (static_cast<std::size_t>(live) >= m_state.options.max_pending_proposals) {
        decision.reply.verdict = change_verdict::too_many;
        return decision;
    }
    proposal opened;
    opened.header = asked.header;
    opened.subtree = asked.subtree;
    opened.based_on = asked.based_on;
    opened.diff = std::move(judged.diff);
    opened.expires = m_now + asked.lifetime;
    decision.reply.verdict = change_verdict::pending;
    decision.note = "proposed";
    decision.effects.emplace_back(open_proposal_effect{std::move(opened)});
    return decision;
}

change_decision change_decider::decide(const approve_proposal& asked)
{
    const auto* judged = find_pending(asked.proposal);
    if (judged == nullptr) {
        return find_closed(asked.header.author, asked.proposal);
    }
    change_decision decision;
    decision.subject = judged->subtree;
    decision.reply.proposal = judged->id;
    const auto* author = m_state.credentials.find(asked.header.author);
    if (author == nullptr || !may_review(*author, *judged)) {
        decision.reply.verdict = change_verdict::permission_denied;
        return decision;
    }
    decision.reply.problems = m_state.settings.check(judged->diff);
    if (!decision.reply.problems.empty()) {
        decision.reply.verdict = change_verdict::invalid;
        return decision;
    }
    decision.reply.verdict = change_verdict::accepted;
    decision.note = "approved; proposed by " + judged->header.author.value();
    decision.effects.emplace_back(
        close_proposal_effect{judged->id, proposal_state::approved, std::string()});
    decision.effects.emplace_back(apply_diff_effect{judged->subtree.versioned_root(),
                                                    judged->header, judged->id, judged->diff});
    return decision;
}

change_decision change_decider::decide(const refuse_proposal& asked)
{
    if (asked.reason.empty() || asked.reason.size() > max_reason) {
        return refusal(change_verdict::malformed);
    }
    const auto* judged = find_pending(asked.proposal);
    if (judged == nullptr) {
        return find_closed(asked.header.author, asked.proposal);
    }
    change_decision decision;
    decision.subject = judged->subtree;
    decision.reply.proposal = judged->id;
    const auto* author = m_state.credentials.find(asked.header.author);
    bool is_proposer = asked.header.author == judged->header.author;
    if (author == nullptr || (!is_proposer && !may_review(*author, *judged))) {
        decision.reply.verdict = change_verdict::permission_denied;
        return decision;
    }
    decision.reply.verdict = change_verdict::accepted;
    decision.note = "refused: " + asked.reason;
    decision.effects.emplace_back(
        close_proposal_effect{judged->id, proposal_state::refused, asked.reason});
    return decision;
}

change_decision change_decider::decide(const withdraw_key& asked)
{
    if (!settings::is_name(asked.key.value())) {
        return refusal(change_verdict::malformed);
    }
    const auto* author = m_state.credentials.find(asked.header.author);
    const auto* path =
        m_state.settings.find_definition({settings::reference_kind::key, asked.key.value()});
    // The same answer for keys of other teams, so that names of keys cannot be probed.
    if (author == nullptr || (path == nullptr && author->subtree.depth() > 0) ||
        (path != nullptr && !path->is_within(author->subtree))) {
        return refusal(change_verdict::permission_denied, "withdraw key " + asked.key.value());
    }
    if (path == nullptr) {
        return refusal(change_verdict::not_found, "withdraw key " + asked.key.value());
    }
    change_decision decision;
    decision.subject = *path;
    decision.reply.verdict = change_verdict::unchanged;
    settings::field_name field("state");
    const auto* present = m_state.settings.tree().find(*path, field);
    settings::field_value withdrawn("withdrawn");
    if (present == nullptr || *present == withdrawn) {
        return decision;
    }
    settings::setting_diff diff;
    diff.changes.push_back({settings::change_kind::changed, *path, field, *present, withdrawn});
    decision.reply.verdict = change_verdict::accepted;
    decision.effects.emplace_back(
        apply_diff_effect{path->versioned_root(), asked.header, proposal_id(), std::move(diff)});
    return decision;
}

change_decision change_decider::decide(const create_credential& asked)
{
    const auto& created = asked.created;
    if (!is_operator_name(created.name)) {
        return refusal(change_verdict::malformed);
    }
    change_decision decision;
    decision.subject = credential_path(created.name);
    bool makes_root_admin = created.role == credential_role::admin && created.subtree.depth() == 0;
    bool first = m_state.credentials.empty();
    if (first ? !makes_root_admin : !is_root_admin(asked.header.author)) {
        decision.reply.verdict = change_verdict::permission_denied;
        return decision;
    }
    if (m_state.credentials.find(created.name) != nullptr ||
        m_state.credentials.find(created.token) != nullptr) {
        decision.reply.verdict = change_verdict::exists;
        return decision;
    }
    if (m_state.credentials.size() >= m_state.options.max_credentials) {
        decision.reply.verdict = change_verdict::too_many;
        return decision;
    }
    decision.reply.verdict = change_verdict::accepted;
    decision.note = "created with role ";
    decision.note += to_string(created.role);
    decision.note += " on /" + created.subtree.text();
    decision.effects.emplace_back(add_credential_effect{created});
    return decision;
}

change_decision change_decider::decide(const remove_credential& asked)
{
    if (!is_operator_name(asked.name)) {
        return refusal(change_verdict::malformed);
    }
    change_decision decision;
    decision.subject = credential_path(asked.name);
    if (!is_root_admin(asked.header.author)) {
        decision.reply.verdict = change_verdict::permission_denied;
        return decision;
    }
    if (m_state.credentials.find(asked.name) == nullptr) {
        decision.reply.verdict = change_verdict::not_found;
        return decision;
    }
    if (is_root_admin(asked.name) && m_state.credentials.count_root_admins() == 1) {
        decision.reply.verdict = change_verdict::last_admin;
        return decision;
    }
    decision.reply.verdict = change_verdict::accepted;
    decision.note = "removed";
    decision.effects.emplace_back(remove_credential_effect{asked.name});
    return decision;
}

change_decider::judged_edit change_decider::judge_edit(const command_header& header,
                                                       const settings::setting_path& subtree,
                                                       base::settings_version based_on,
                                                       const settings_edit& edit)
{
    judged_edit judged;
    auto& reply = judged.decision.reply;
    judged.decision.subject = subtree;
    auto root = subtree.versioned_root();
    if (root.depth() == 0) {
        reply.verdict = change_verdict::malformed;
        return judged;
    }
    if (!may_change(m_state.credentials.find(header.author), subtree)) {
        reply.verdict = change_verdict::permission_denied;
        return judged;
    }
    if (const auto* outside = find_outside(edit, subtree)) {
        reply.verdict = change_verdict::invalid;
        reply.problems.push_back(outside_of(subtree, *outside));
        return judged;
    }
    if (based_on != m_state.history.version_of(root)) {
        return {conflict_since(based_on, subtree), {}};
    }
    judged.diff = diff_of(edit, subtree, m_state.settings.tree());
    if (judged.diff.empty()) {
        reply.verdict = change_verdict::unchanged;
        return judged;
    }
    if (judged.diff.changes.size() > m_state.options.max_changes_per_command) {
        reply.verdict = change_verdict::too_many;
        return judged;
    }
    reply.problems = m_state.settings.check(judged.diff);
    reply.verdict = reply.problems.empty() ? change_verdict::accepted : change_verdict::invalid;
    return judged;
}

change_decider::judged_edit change_decider::judge_document(const change_settings& asked)
{
    const auto present = m_state.history.version_of(asked.subtree.versioned_root());
    const auto& wanted = *asked.document;
    if (wanted.document == m_state.document) {
        return judge_edit(asked.header, asked.subtree, present, settings::setting_diff{});
    }
    if (wanted.based_on != m_state.document.version ||
        wanted.document.version <= m_state.document.version) {
        auto judged = judge_edit(asked.header, asked.subtree, present, settings::setting_diff{});
        if (judged.decision.reply.verdict == change_verdict::unchanged) {
            judged.decision = conflict_since(present, asked.subtree);
        }
        return judged;
    }
    auto judged = judge_edit(asked.header, asked.subtree, present, asked.edit);
    auto& verdict = judged.decision.reply.verdict;
    if (verdict == change_verdict::unchanged) {
        verdict = change_verdict::accepted;
    }
    return judged;
}

change_decision change_decider::conflict_since(base::settings_version based_on,
                                               const settings::setting_path& subtree) const
{
    change_decision decision;
    decision.subject = subtree;
    decision.reply.verdict = change_verdict::conflict;
    change_conflict conflict;
    conflict.version = m_state.history.version_of(subtree.versioned_root());
    if (const auto* latest = m_state.history.find(conflict.version)) {
        conflict.author = latest->author;
        conflict.change = latest->change;
        conflict.when = latest->when;
    }
    auto since = m_state.history.between(based_on, conflict.version, subtree.versioned_root());
    conflict.complete = since.complete;
    conflict.difference = std::move(since.diff);
    auto& changes = conflict.difference.changes;
    if (changes.size() > max_conflict_changes) {
        conflict.omitted = changes.size() - max_conflict_changes;
        changes.resize(max_conflict_changes);
    }
    decision.reply.conflict = std::move(conflict);
    return decision;
}

change_decision change_decider::find_closed(const base::operator_id& author, proposal_id id) const
{
    const auto* known = m_state.proposals.find_closed(id);
    if (known == nullptr) {
        // A proposal whose time has come, but which the log has not closed yet.
        known = m_state.proposals.find_pending(id);
    }
    change_decision decision;
    if (known == nullptr) {
        decision.reply.verdict = change_verdict::not_found;
    }
    else if (!concerns(author, known->subtree)) {
        decision.reply.verdict = change_verdict::permission_denied;
    }
    else if (known->state == proposal_state::conflict) {
        decision = conflict_since(known->based_on, known->subtree);
    }
    else {
        decision.reply.verdict = change_verdict::closed;
    }
    decision.subject = known == nullptr ? settings::setting_path() : known->subtree;
    decision.reply.proposal = id;
    return decision;
}

bool change_decider::concerns(const base::operator_id& author,
                              const settings::setting_path& subtree) const
{
    const auto* found = m_state.credentials.find(author);
    return found != nullptr &&
           (subtree.is_within(found->subtree) || found->subtree.is_within(subtree));
}

const proposal* change_decider::find_pending(proposal_id id) const
{
    const auto* found = m_state.proposals.find_pending(id);
    return found != nullptr && found->expires > m_now ? found : nullptr;
}

bool change_decider::needs_review(const settings::setting_diff& diff) const
{
    return std::any_of(diff.changes.begin(), diff.changes.end(), [this](const auto& change) {
        return m_state.credentials.is_reviewed(change.path);
    });
}

bool change_decider::may_review(const credential& reviewer, const proposal& judged) const
{
    if (!needs_review(judged.diff)) {
        return reviewer.role == credential_role::admin &&
               judged.subtree.is_within(reviewer.subtree);
    }
    if (reviewer.role != credential_role::reviewer) {
        return false;
    }
    const auto& changes = judged.diff.changes;
    return std::all_of(changes.begin(), changes.end(), [&](const auto& change) {
        return change.path.is_within(reviewer.subtree) ||
               !m_state.credentials.is_reviewed(change.path);
    });
}

bool change_decider::is_root_admin(const base::operator_id& name) const
{
    const auto* found = m_state.credentials.find(name);
    return found != nullptr && found->role == credential_role::admin && found->subtree.depth() == 0;
}

} // namespace damaskladder::control
