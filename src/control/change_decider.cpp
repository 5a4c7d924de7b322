#include "control/change_decider.hpp"

#include "control/command_bounds.hpp"
#include "control/evacuation_plan.hpp"
#include "control/row_size.hpp"
#include "settings/evacuation_entries.hpp"
#include "settings/value_parsers.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::control {

namespace {

change_decision make_refusal(change_verdict verdict, std::string note = {})
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

/// Whether the author may change settings within the subtree.
bool may_change(const credential* author, const settings::setting_path& subtree)
{
    return author != nullptr && author->role != credential_role::reviewer &&
           subtree.is_within(author->subtree);
}

settings::settings_problem outside_subtree_problem(const settings::setting_path& subtree,
                                                   const settings::setting_path& path)
{
    return {settings::problem_kind::unknown_path, {}, {}, path, {},
            "paths within " + subtree.text()};
}

/// First path in the edit that lies outside the subtree, or null.
const settings::setting_path* find_path_outside_subtree(const settings_edit& edit,
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

settings::setting_diff make_diff(const settings_edit& edit, const settings::setting_path& subtree,
                                 const settings::setting_tree& present)
{
    if (const auto* diff = std::get_if<settings::setting_diff>(&edit)) {
        return *diff;
    }
    return settings::difference(present.subtree(subtree), std::get<settings::setting_tree>(edit));
}

} // namespace

change_decision change_decider::decide(const change_settings& request)
{
    auto evaluated = request.document ? evaluate_document(request)
                                      : evaluate_edit(request.header, request.subtree,
                                                      request.based_on, request.edit);
    auto& decision = evaluated.decision;
    if (decision.reply.verdict != change_verdict::accepted) {
        return decision;
    }
    if (requires_review(evaluated.diff)) {
        decision.reply.verdict = change_verdict::review_required;
        return decision;
    }
    decision.effects.emplace_back(apply_diff_effect{request.subtree.versioned_root(),
                                                    request.header, proposal_id(),
                                                    std::move(evaluated.diff)});
    if (request.document) {
        decision.effects.emplace_back(set_document_effect{request.document->document});
    }
    return decision;
}

change_decision change_decider::decide(const propose_settings& request)
{
    if (request.lifetime < min_proposal_lifetime || request.lifetime > max_proposal_lifetime) {
        return make_refusal(change_verdict::malformed);
    }
    auto evaluated = evaluate_edit(request.header, request.subtree, request.based_on, request.edit);
    auto& decision = evaluated.decision;
    if (decision.reply.verdict != change_verdict::accepted) {
        return decision;
    }
    proposal opened;
    opened.header = request.header;
    opened.subtree = request.subtree;
    opened.based_on = request.based_on;
    opened.diff = std::move(evaluated.diff);
    opened.expires = m_now + request.lifetime;
    if (!has_room_for(opened)) {
        decision.reply.verdict = change_verdict::too_many;
        return decision;
    }
    decision.reply.verdict = change_verdict::pending;
    decision.note = "proposed";
    decision.effects.emplace_back(open_proposal_effect{std::move(opened)});
    return decision;
}

bool change_decider::has_room_for(const proposal& opened) const
{
    std::size_t live = 1;
    base::byte_count size = row_size(opened);
    for (const auto& [id, entry] : m_state.proposals.pending()) {
        if (entry.expires > m_now) {
            ++live;
            size += row_size(entry);
        }
    }
    return live <= m_state.options.max_pending_proposals &&
           size <= m_state.options.max_pending_proposals_size;
}

change_decision change_decider::decide(const approve_proposal& request)
{
    const auto* target = find_unexpired(request.proposal);
    if (target == nullptr) {
        return decide_closed(request.header.author, request.proposal);
    }
    change_decision decision;
    decision.subject = target->subtree;
    decision.reply.proposal = target->id;
    const auto* author = m_state.credentials.find(request.header.author);
    if (author == nullptr || !may_review(*author, *target)) {
        decision.reply.verdict = change_verdict::permission_denied;
        return decision;
    }
    decision.reply.problems = m_state.settings.check(target->diff);
    if (!decision.reply.problems.empty()) {
        decision.reply.verdict = change_verdict::invalid;
        return decision;
    }
    decision.reply.verdict = change_verdict::accepted;
    decision.note = "approved; proposed by " + target->header.author.value();
    decision.effects.emplace_back(
        close_proposal_effect{target->id, proposal_state::approved, std::string()});
    decision.effects.emplace_back(apply_diff_effect{target->subtree.versioned_root(),
                                                    target->header, target->id, target->diff});
    return decision;
}

change_decision change_decider::decide(const refuse_proposal& request)
{
    if (request.reason.empty() || request.reason.size() > max_reason_length) {
        return make_refusal(change_verdict::malformed);
    }
    const auto* target = find_unexpired(request.proposal);
    if (target == nullptr) {
        return decide_closed(request.header.author, request.proposal);
    }
    change_decision decision;
    decision.subject = target->subtree;
    decision.reply.proposal = target->id;
    const auto* author = m_state.credentials.find(request.header.author);
    bool is_proposer = request.header.author == target->header.author;
    if (author == nullptr || (!is_proposer && !may_review(*author, *target))) {
        decision.reply.verdict = change_verdict::permission_denied;
        return decision;
    }
    decision.reply.verdict = change_verdict::accepted;
    decision.note = "refused: " + request.reason;
    decision.effects.emplace_back(
        close_proposal_effect{target->id, proposal_state::refused, request.reason});
    return decision;
}

change_decision change_decider::decide(const withdraw_key& request)
{
    if (!settings::is_name(request.key.value())) {
        return make_refusal(change_verdict::malformed);
    }
    const auto* author = m_state.credentials.find(request.header.author);
    const auto* path =
        m_state.settings.find_definition({settings::reference_kind::key, request.key.value()});
    // Authors limited to a subtree get the same verdict for unknown keys and for keys of other
    // teams, so that they cannot probe for key names.
    if (author == nullptr || (path == nullptr && author->subtree.depth() > 0) ||
        (path != nullptr && !path->is_within(author->subtree))) {
        return make_refusal(change_verdict::permission_denied,
                            "withdraw key " + request.key.value());
    }
    if (path == nullptr) {
        return make_refusal(change_verdict::not_found, "withdraw key " + request.key.value());
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
        apply_diff_effect{path->versioned_root(), request.header, proposal_id(), std::move(diff)});
    return decision;
}

change_decision change_decider::decide(const create_credential& request)
{
    const auto& created = request.created;
    if (!is_operator_name(created.name)) {
        return make_refusal(change_verdict::malformed);
    }
    change_decision decision;
    decision.subject = credential_path(created.name);
    bool makes_root_admin = created.role == credential_role::admin && created.subtree.depth() == 0;
    bool first = m_state.credentials.empty();
    if (first ? !makes_root_admin : !is_root_admin(request.header.author)) {
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

change_decision change_decider::decide(const remove_credential& request)
{
    if (!is_operator_name(request.name)) {
        return make_refusal(change_verdict::malformed);
    }
    change_decision decision;
    decision.subject = credential_path(request.name);
    if (!is_root_admin(request.header.author)) {
        decision.reply.verdict = change_verdict::permission_denied;
        return decision;
    }
    if (m_state.credentials.find(request.name) == nullptr) {
        decision.reply.verdict = change_verdict::not_found;
        return decision;
    }
    if (is_root_admin(request.name) && m_state.credentials.count_root_admins() == 1) {
        decision.reply.verdict = change_verdict::last_admin;
        return decision;
    }
    decision.reply.verdict = change_verdict::accepted;
    decision.note = "removed";
    decision.effects.emplace_back(remove_credential_effect{request.name});
    return decision;
}

change_decision change_decider::decide(const set_evacuation& request)
{
    const auto path = settings::evacuation_path(request.domain);
    if (!path || !is_well_formed(request)) {
        return make_refusal(change_verdict::malformed);
    }
    change_decision decision;
    decision.subject = *path;
    auto& reply = decision.reply;
    if (!may_change(m_state.credentials.find(request.header.author), *path)) {
        reply.verdict = change_verdict::permission_denied;
        return decision;
    }
    auto planned = plan_evacuation(m_state.settings.tree(), *path, request);
    reply.verdict = planned.verdict;
    reply.problems = std::move(planned.problems);
    if (reply.verdict != change_verdict::accepted) {
        return decision;
    }
    if (requires_review(planned.diff)) {
        reply.verdict = change_verdict::review_required;
        return decision;
    }
    reply.problems = m_state.settings.check(planned.diff);
    if (!reply.problems.empty()) {
        reply.verdict = change_verdict::invalid;
        return decision;
    }
    decision.effects.emplace_back(apply_diff_effect{path->versioned_root(), request.header,
                                                    proposal_id(), std::move(planned.diff)});
    return decision;
}

change_decider::evaluated_edit change_decider::evaluate_edit(const command_header& header,
                                                             const settings::setting_path& subtree,
                                                             base::settings_version based_on,
                                                             const settings_edit& edit)
{
    evaluated_edit evaluated;
    auto& reply = evaluated.decision.reply;
    evaluated.decision.subject = subtree;
    auto root = subtree.versioned_root();
    if (root.depth() == 0) {
        reply.verdict = change_verdict::malformed;
        return evaluated;
    }
    if (!may_change(m_state.credentials.find(header.author), subtree)) {
        reply.verdict = change_verdict::permission_denied;
        return evaluated;
    }
    if (const auto* outside = find_path_outside_subtree(edit, subtree)) {
        reply.verdict = change_verdict::invalid;
        reply.problems.push_back(outside_subtree_problem(subtree, *outside));
        return evaluated;
    }
    if (based_on != m_state.history.version_of(root)) {
        return {make_conflict(based_on, subtree), {}};
    }
    evaluated.diff = make_diff(edit, subtree, m_state.settings.tree());
    if (evaluated.diff.empty()) {
        reply.verdict = change_verdict::unchanged;
        return evaluated;
    }
    if (evaluated.diff.changes.size() > m_state.options.max_changes_per_command) {
        reply.verdict = change_verdict::too_many;
        return evaluated;
    }
    reply.problems = m_state.settings.check(evaluated.diff);
    reply.verdict = reply.problems.empty() ? change_verdict::accepted : change_verdict::invalid;
    return evaluated;
}

change_decider::evaluated_edit change_decider::evaluate_document(const change_settings& request)
{
    const auto present = m_state.history.version_of(request.subtree.versioned_root());
    const auto& update = *request.document;
    if (update.document == m_state.document) {
        return evaluate_edit(request.header, request.subtree, present, settings::setting_diff{});
    }
    if (update.based_on != m_state.document.version ||
        update.document.version <= m_state.document.version) {
        auto evaluated =
            evaluate_edit(request.header, request.subtree, present, settings::setting_diff{});
        if (evaluated.decision.reply.verdict == change_verdict::unchanged) {
            evaluated.decision = make_conflict(present, request.subtree);
        }
        return evaluated;
    }
    auto evaluated = evaluate_edit(request.header, request.subtree, present, request.edit);
    auto& verdict = evaluated.decision.reply.verdict;
    if (verdict == change_verdict::unchanged) {
        verdict = change_verdict::accepted;
    }
    return evaluated;
}

change_decision change_decider::make_conflict(base::settings_version based_on,
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
    auto since =
        m_state.history.net_difference(based_on, conflict.version, subtree.versioned_root());
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

change_decision change_decider::decide_closed(const base::operator_id& author, proposal_id id) const
{
    const auto* target_proposal = m_state.proposals.find_closed(id);
    if (target_proposal == nullptr) {
        // Expired at the given time, but not yet closed by an applied command.
        target_proposal = m_state.proposals.find_pending(id);
    }
    change_decision decision;
    if (target_proposal == nullptr) {
        decision.reply.verdict = change_verdict::not_found;
    }
    else if (!has_overlapping_subtree(author, target_proposal->subtree)) {
        decision.reply.verdict = change_verdict::permission_denied;
    }
    else if (target_proposal->state == proposal_state::conflict) {
        decision = make_conflict(target_proposal->based_on, target_proposal->subtree);
    }
    else {
        decision.reply.verdict = change_verdict::closed;
    }
    decision.subject =
        target_proposal == nullptr ? settings::setting_path() : target_proposal->subtree;
    decision.reply.proposal = id;
    return decision;
}

bool change_decider::has_overlapping_subtree(const base::operator_id& author,
                                             const settings::setting_path& subtree) const
{
    const auto* credential_entry = m_state.credentials.find(author);
    return credential_entry != nullptr && (subtree.is_within(credential_entry->subtree) ||
                                           credential_entry->subtree.is_within(subtree));
}

const proposal* change_decider::find_unexpired(proposal_id id) const
{
    const auto* pending_proposal = m_state.proposals.find_pending(id);
    return pending_proposal != nullptr && pending_proposal->expires > m_now ? pending_proposal
                                                                            : nullptr;
}

bool change_decider::requires_review(const settings::setting_diff& diff) const
{
    return std::any_of(diff.changes.begin(), diff.changes.end(), [this](const auto& change) {
        return m_state.credentials.is_reviewed(change.path);
    });
}

bool change_decider::may_review(const credential& reviewer, const proposal& target) const
{
    if (!requires_review(target.diff)) {
        return reviewer.role == credential_role::admin &&
               target.subtree.is_within(reviewer.subtree);
    }
    if (reviewer.role != credential_role::reviewer) {
        return false;
    }
    const auto& changes = target.diff.changes;
    return std::all_of(changes.begin(), changes.end(), [&](const auto& change) {
        return change.path.is_within(reviewer.subtree) ||
               !m_state.credentials.is_reviewed(change.path);
    });
}

bool change_decider::is_root_admin(const base::operator_id& name) const
{
    const auto* credential_entry = m_state.credentials.find(name);
    return credential_entry != nullptr && credential_entry->role == credential_role::admin &&
           credential_entry->subtree.depth() == 0;
}

} // namespace damaskladder::control
