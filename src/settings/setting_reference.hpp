#pragma once

#include "settings/reference_kind.hpp"

#include <compare>
#include <string>

namespace damaskladder::settings {

/// A name that an entry defines or uses.
struct setting_reference {
    reference_kind kind = reference_kind::workspace;
    std::string name;

    friend auto operator<=>(const setting_reference&, const setting_reference&) = default;
};

} // namespace damaskladder::settings
