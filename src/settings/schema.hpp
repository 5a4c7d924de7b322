#pragma once

#include "settings/entry_kind.hpp"
#include "settings/field_rule.hpp"
#include "settings/setting_entry.hpp"
#include "settings/settings_problem.hpp"

#include <span>

namespace damaskladder::settings {

/// The fields that an entry of this kind may have.
std::span<const field_rule> rules_of(entry_kind kind);

/// Checks one entry by itself: known path, known fields, forms, bounds, required fields and fields
/// that contradict each other. References to other entries are the business of checked_settings.
settings_problems check_entry(const setting_path& path, const setting_entry& entry);

} // namespace damaskladder::settings
