#pragma once

#include "settings/change_kind.hpp"
#include "settings/field_name.hpp"
#include "settings/field_value.hpp"
#include "settings/setting_path.hpp"

namespace damaskladder::settings {

/// One field that differs between two trees.
struct setting_change {
    change_kind kind = change_kind::changed;
    setting_path path;
    field_name field;
    /// Empty if the field was added.
    field_value from;
    /// Empty if the field was removed.
    field_value to;

    friend bool operator==(const setting_change&, const setting_change&) = default;
};

} // namespace damaskladder::settings
