#pragma once

#include "base/operator_id.hpp"
#include "base/time.hpp"
#include "control/command_header.hpp"
#include "control/set_evacuation.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace damaskladder::control {

inline constexpr std::size_t max_change_id_length = 64;
/// "credentials/NAME" must be a valid setting path, for the audit trail.
inline constexpr std::size_t max_operator_name_length = 32;
inline constexpr std::size_t max_reason_length = 500;
inline constexpr std::size_t max_known_domains = 100;
inline constexpr base::duration min_proposal_lifetime = std::chrono::minutes(1);
inline constexpr base::duration max_proposal_lifetime = std::chrono::hours(24 * 30);

/// Whether the name has only letters, digits, '.', '_' and '-', at most max_operator_name_length of
/// them.
bool is_operator_name(const base::operator_id& name);
/// Whether the change id and the author's name are within bounds.
bool is_well_formed(const command_header& header);
/// Whether the domains have names of settings paths, and at most max_known_domains are listed.
bool is_well_formed(const set_evacuation& order);

} // namespace damaskladder::control
