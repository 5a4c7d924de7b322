#pragma once

#include "control/audit_anchor.hpp"
#include "control/audit_record.hpp"
#include "control/cached_reply.hpp"
#include "control/claim_reply.hpp"
#include "control/command.hpp"
#include "control/credential.hpp"
#include "control/proposal.hpp"
#include "control/stored_claim.hpp"
#include "control/subtree_version.hpp"
#include "control/version_record.hpp"
#include "settings/settings_problem.hpp"

#include <concepts>
#include <type_traits>

/// \file
/// Lists the fields of each stored struct in one place, for both encoding and decoding. The order
/// is part of the stored format. A visitor is called with references to all fields.

namespace damaskladder::control {

template <class S, class T>
concept maybe_const = std::same_as<std::remove_const_t<S>, T>;

template <class V>
void visit_fields(V& visit, maybe_const<command_header> auto& value)
{
    visit(value.change, value.author, value.when);
}

template <class V>
void visit_fields(V& visit, maybe_const<advance_time> auto& /*value*/)
{
    visit();
}

template <class V>
void visit_fields(V& visit, maybe_const<settings_document> auto& value)
{
    visit(value.version, value.text);
}

template <class V>
void visit_fields(V& visit, maybe_const<document_change> auto& value)
{
    visit(value.based_on, value.document);
}

template <class V>
void visit_fields(V& visit, maybe_const<change_settings> auto& value)
{
    visit(value.header, value.subtree, value.based_on, value.edit, value.document);
}

template <class V>
void visit_fields(V& visit, maybe_const<propose_settings> auto& value)
{
    visit(value.header, value.subtree, value.based_on, value.edit, value.lifetime);
}

template <class V>
void visit_fields(V& visit, maybe_const<approve_proposal> auto& value)
{
    visit(value.header, value.proposal);
}

template <class V>
void visit_fields(V& visit, maybe_const<refuse_proposal> auto& value)
{
    visit(value.header, value.proposal, value.reason);
}

template <class V>
void visit_fields(V& visit, maybe_const<withdraw_key> auto& value)
{
    visit(value.header, value.key);
}

template <class V>
void visit_fields(V& visit, maybe_const<set_evacuation> auto& value)
{
    visit(value.header, value.domain, value.evacuated, value.known_domains);
}

template <class V>
void visit_fields(V& visit, maybe_const<credential> auto& value)
{
    visit(value.name, value.role, value.subtree, value.token);
}

template <class V>
void visit_fields(V& visit, maybe_const<create_credential> auto& value)
{
    visit(value.header, value.created);
}

template <class V>
void visit_fields(V& visit, maybe_const<remove_credential> auto& value)
{
    visit(value.header, value.name);
}

template <class V>
void visit_fields(V& visit, maybe_const<claim_key> auto& value)
{
    visit(value.workspace, value.request);
}

template <class V>
void visit_fields(V& visit, maybe_const<claim_request> auto& value)
{
    visit(value.key, value.attempt, value.node, value.content);
}

template <class V>
void visit_fields(V& visit, maybe_const<release_claim> auto& value)
{
    visit(value.key, value.attempt);
}

template <class V>
void visit_fields(V& visit, maybe_const<complete_claim> auto& value)
{
    visit(value.key, value.attempt);
}

template <class V>
void visit_fields(V& visit, maybe_const<settings::setting_change> auto& value)
{
    visit(value.kind, value.path, value.field, value.from, value.to);
}

template <class V>
void visit_fields(V& visit, maybe_const<settings::setting_diff> auto& value)
{
    visit(value.changes);
}

template <class V>
void visit_fields(V& visit, maybe_const<settings::settings_problem> auto& value)
{
    visit(value.kind, value.file, value.line, value.path, value.field, value.expected);
}

template <class V>
void visit_fields(V& visit, maybe_const<change_conflict> auto& value)
{
    visit(value.version, value.author, value.change, value.when, value.difference, value.omitted,
          value.complete);
}

template <class V>
void visit_fields(V& visit, maybe_const<change_reply> auto& value)
{
    visit(value.verdict, value.version, value.proposal, value.conflict, value.problems);
}

template <class V>
void visit_fields(V& visit, maybe_const<claim_reply> auto& value)
{
    visit(value.verdict, value.holder, value.node);
}

template <class V>
void visit_fields(V& visit, maybe_const<stored_claim> auto& value)
{
    visit(value.key.workspace, value.key.request, value.record.state, value.record.attempt,
          value.record.node, value.record.content, value.record.released);
}

template <class V>
void visit_fields(V& visit, maybe_const<subtree_version> auto& value)
{
    visit(value.versioned_root, value.version);
}

template <class V>
void visit_fields(V& visit, maybe_const<cached_reply> auto& value)
{
    visit(value.change, value.content, value.position, value.answer);
}

template <class V>
void visit_fields(V& visit, maybe_const<proposal> auto& value)
{
    visit(value.id, value.header, value.subtree, value.based_on, value.diff, value.expires,
          value.state, value.closed_by, value.reason);
}

template <class V>
void visit_fields(V& visit, maybe_const<version_record> auto& value)
{
    visit(value.version, value.versioned_root, value.author, value.change, value.when,
          value.proposal, value.diff);
}

template <class V>
void visit_fields(V& visit, maybe_const<audit_anchor> auto& value)
{
    visit(value.sequence, value.hash);
}

template <class V>
void visit_fields(V& visit, maybe_const<audit_record> auto& value)
{
    visit(value.sequence, value.who, value.when, value.path, value.field, value.from, value.to,
          value.version, value.change, value.proposal, value.verdict, value.note, value.previous,
          value.hash);
}

} // namespace damaskladder::control
