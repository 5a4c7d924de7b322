#pragma once

/// \file
/// settings: the settings tree, its INI format, checks, differences, and the compiled form that
/// nodes use.
///
///     auto document = settings::read_ini(text, "grants.ini");
///     settings::checked_settings checked;
///     auto problems = document.problems;
///     if (problems.empty()) {
///         problems = checked.apply(settings::difference({}, document.tree));
///         document.lines.locate("grants.ini", problems);
///     }
///     for (const auto& problem : problems) {
///         print(settings::to_string(problem));
///     }
///     auto compiled = settings::compiled_settings::compile(checked.tree());
///     const auto* route = compiled->match_route("/payments/17");
///
/// The tree
///
/// An INI section is a path, an INI key is a field. Paths have at most 49 characters and 4 parts.
///
///     [teams/TEAM/routes/NAME]      prefix, service, idempotent (yes, no), open (yes, no),
///                                   workspaces (list or *), importance, timeout, retries, max_body
///     [teams/TEAM/workspaces/NAME]  rate (100/s), burst (tokens), weight
///     [teams/TEAM/keys/NAME]        workspace, hash (64 hexadecimal digits), state (active,
///                                   withdrawn)
///     [teams/TEAM/services/NAME]    cold_rate (9.6/s), cold_burst (requests)
///     [teams/TEAM/limits]           max_staleness, max_queue, slow_start, ejection,
///                                   max_ejected_percent
///     [teams/TEAM/policy]           revision
///     [fleet/domains/NAME]          region, lease_voters (1, 3 or 5 nodes), share (1/3, 0.25)
///
/// Names of workspaces, keys and services, hashes of keys, prefixes of routes and lease voters are
/// unique in the whole tree. A key names a workspace of its own team; a route may name workspaces
/// of any team. Shares sum to exactly 1, or none is given and all are equal.
///
/// Units
///
/// Durations are written with us, ms, s, min or h; sizes with B, KiB or MiB; rates with /s. A value
/// without a unit is rejected.
///
/// Errors
///
/// Rejected settings are reported as a list of settings_problem, each with file, line, path, field
/// and what was expected. Changes are atomic: they are applied completely or not at all.
///
/// Limits
///
/// 198 bytes per line of INI (lists continue on indented lines), 1000 characters per value, 4 MiB
/// per text, 20,000 entries per tree, 50 problems per report. Exceeding a limit is reported as a
/// problem.
///
/// Nothing here reads a clock, a file or the environment; everything except compiled_settings
/// belongs to one thread.

#include "base/key_hash.hpp"
#include "settings/change_kind.hpp"
#include "settings/checked_settings.hpp"
#include "settings/compiled_settings.hpp"
#include "settings/domain_settings.hpp"
#include "settings/domain_share.hpp"
#include "settings/entry_kind.hpp"
#include "settings/field_name.hpp"
#include "settings/field_value.hpp"
#include "settings/ini_document.hpp"
#include "settings/ini_reader.hpp"
#include "settings/ini_writer.hpp"
#include "settings/key_settings.hpp"
#include "settings/key_state.hpp"
#include "settings/line_number.hpp"
#include "settings/path_prefix.hpp"
#include "settings/policy_revision.hpp"
#include "settings/printable_value.hpp"
#include "settings/problem_kind.hpp"
#include "settings/region_name.hpp"
#include "settings/request_path.hpp"
#include "settings/route_settings.hpp"
#include "settings/service_settings.hpp"
#include "settings/setting_change.hpp"
#include "settings/setting_diff.hpp"
#include "settings/setting_entry.hpp"
#include "settings/setting_path.hpp"
#include "settings/setting_tree.hpp"
#include "settings/settings_problem.hpp"
#include "settings/source_lines.hpp"
#include "settings/team_limits.hpp"
#include "settings/token_count.hpp"
#include "settings/token_rate.hpp"
#include "settings/value_parsers.hpp"
#include "settings/workspace_settings.hpp"
