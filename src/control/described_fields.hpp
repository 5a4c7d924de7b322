#pragma once

#include "control/answered_change.hpp"
#include "control/audit_anchor.hpp"
#include "control/audit_record.hpp"
#include "control/claim_reply.hpp"
#include "control/command.hpp"
#include "control/credential.hpp"
#include "control/proposal.hpp"
#include "control/version_record.hpp"
#include "settings/settings_problem.hpp"

#include <concepts>
#include <type_traits>

/// \file
/// Names the fields of each stored struct once, for encoding and decoding alike. The names are part
/// of the stored form. A visitor is called with the name and a reference to each field.

namespace damaskladder::control {

template <class S, class T>
concept maybe_const = std::same_as<std::remove_const_t<S>, T>;

template <class V>
void visit_fields(V& visit, maybe_const<command_header> auto& value)
{
    visit("change", value.change);
    visit("author", value.author);
    visit("when", value.when);
}

template <class V>
void visit_fields(V& visit, maybe_const<advance_time> auto& /*value*/)
{
    visit.nothing();
}

template <class V>
void visit_fields(V& visit, maybe_const<change_settings> auto& value)
{
    visit("header", value.header);
    visit("subtree", value.subtree);
    visit("based_on", value.based_on);
    visit("edit", value.edit);
}

template <class V>
void visit_fields(V& visit, maybe_const<propose_settings> auto& value)
{
    visit("header", value.header);
    visit("subtree", value.subtree);
    visit("based_on", value.based_on);
    visit("edit", value.edit);
    visit("lifetime", value.lifetime);
}

template <class V>
void visit_fields(V& visit, maybe_const<approve_proposal> auto& value)
{
    visit("header", value.header);
    visit("proposal", value.proposal);
}

template <class V>
void visit_fields(V& visit, maybe_const<refuse_proposal> auto& value)
{
    visit("header", value.header);
    visit("proposal", value.proposal);
    visit("reason", value.reason);
}

template <class V>
void visit_fields(V& visit, maybe_const<withdraw_key> auto& value)
{
    visit("header", value.header);
    visit("key", value.key);
}

template <class V>
void visit_fields(V& visit, maybe_const<credential> auto& value)
{
    visit("name", value.name);
    visit("role", value.role);
    visit("subtree", value.subtree);
    visit("token", value.token);
}

template <class V>
void visit_fields(V& visit, maybe_const<create_credential> auto& value)
{
    visit("header", value.header);
    visit("created", value.created);
}

template <class V>
void visit_fields(V& visit, maybe_const<remove_credential> auto& value)
{
    visit("header", value.header);
    visit("name", value.name);
}

template <class V>
void visit_fields(V& visit, maybe_const<claim_key> auto& value)
{
    visit("workspace", value.workspace);
    visit("request", value.request);
}

template <class V>
void visit_fields(V& visit, maybe_const<claim_request> auto& value)
{
    visit("key", value.key);
    visit("attempt", value.attempt);
    visit("node", value.node);
    visit("content", value.content);
}

template <class V>
void visit_fields(V& visit, maybe_const<release_claim> auto& value)
{
    visit("key", value.key);
    visit("attempt", value.attempt);
}

template <class V>
void visit_fields(V& visit, maybe_const<complete_claim> auto& value)
{
    visit("key", value.key);
    visit("attempt", value.attempt);
}

template <class V>
void visit_fields(V& visit, maybe_const<settings::setting_change> auto& value)
{
    visit("kind", value.kind);
    visit("path", value.path);
    visit("field", value.field);
    visit("from", value.from);
    visit("to", value.to);
}

template <class V>
void visit_fields(V& visit, maybe_const<settings::setting_diff> auto& value)
{
    visit("changes", value.changes);
}

template <class V>
void visit_fields(V& visit, maybe_const<settings::settings_problem> auto& value)
{
    visit("kind", value.kind);
    visit("file", value.file);
    visit("line", value.line);
    visit("path", value.path);
    visit("field", value.field);
    visit("expected", value.expected);
}

template <class V>
void visit_fields(V& visit, maybe_const<change_conflict> auto& value)
{
    visit("version", value.version);
    visit("author", value.author);
    visit("change", value.change);
    visit("when", value.when);
    visit("difference", value.difference);
    visit("omitted", value.omitted);
    visit("complete", value.complete);
}

template <class V>
void visit_fields(V& visit, maybe_const<change_reply> auto& value)
{
    visit("verdict", value.verdict);
    visit("version", value.version);
    visit("proposal", value.proposal);
    visit("conflict", value.conflict);
    visit("problems", value.problems);
}

template <class V>
void visit_fields(V& visit, maybe_const<claim_reply> auto& value)
{
    visit("verdict", value.verdict);
    visit("holder", value.holder);
    visit("node", value.node);
}

template <class V>
void visit_fields(V& visit, maybe_const<answered_change> auto& value)
{
    visit("change", value.change);
    visit("content", value.content);
    visit("position", value.position);
    visit("answer", value.answer);
}

template <class V>
void visit_fields(V& visit, maybe_const<proposal> auto& value)
{
    visit("id", value.id);
    visit("header", value.header);
    visit("subtree", value.subtree);
    visit("based_on", value.based_on);
    visit("diff", value.diff);
    visit("expires", value.expires);
    visit("state", value.state);
    visit("closed_by", value.closed_by);
    visit("reason", value.reason);
}

template <class V>
void visit_fields(V& visit, maybe_const<version_record> auto& value)
{
    visit("version", value.version);
    visit("root", value.versioned_root);
    visit("author", value.author);
    visit("change", value.change);
    visit("when", value.when);
    visit("proposal", value.proposal);
    visit("diff", value.diff);
}

template <class V>
void visit_fields(V& visit, maybe_const<audit_anchor> auto& value)
{
    visit("sequence", value.sequence);
    visit("hash", value.hash);
}

template <class V>
void visit_fields(V& visit, maybe_const<audit_record> auto& value)
{
    visit("sequence", value.sequence);
    visit("who", value.who);
    visit("when", value.when);
    visit("path", value.path);
    visit("field", value.field);
    visit("from", value.from);
    visit("to", value.to);
    visit("version", value.version);
    visit("change", value.change);
    visit("proposal", value.proposal);
    visit("verdict", value.verdict);
    visit("note", value.note);
    visit("previous", value.previous);
    visit("hash", value.hash);
}

} // namespace damaskladder::control
