#pragma once

#include "base/failure_domain_id.hpp"
#include "settings/setting_path.hpp"
#include "settings/setting_tree.hpp"
#include "settings/settings_problem.hpp"

#include <optional>
#include <set>

namespace damaskladder::settings {

/// Path of the entry that orders the evacuation of a failure domain; none if a path cannot contain
/// the name.
std::optional<setting_path> evacuation_path(const base::failure_domain_id& domain);

/// Failure domains defined by fleet/domains.
std::set<base::failure_domain_id> defined_domains(const setting_tree& tree);

/// Failure domains whose evacuation is in force.
std::set<base::failure_domain_id> evacuated_domains(const setting_tree& tree);

/// If the tree defines failure domains: each evacuated one must be defined, and another one must
/// remain, since otherwise all requests of the fleet would be refused.
void check_evacuations(const setting_tree& tree, settings_problems& problems);

} // namespace damaskladder::settings
