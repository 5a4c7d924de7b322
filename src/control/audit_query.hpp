#pragma once

#include "base/operator_id.hpp"
#include "base/time.hpp"
#include "control/audit_sequence.hpp"
#include "settings/setting_path.hpp"

#include <cstddef>
#include <optional>

namespace damaskladder::control {

/// Selects the audit records that meet all conditions.
struct audit_query {
    /// Only records within this path; the default is the root.
    settings::setting_path root;
    std::optional<base::operator_id> who;
    /// Range of calendar time; from is inclusive, until exclusive.
    std::optional<base::wall_time> from;
    std::optional<base::wall_time> until;
    /// Only records after this one.
    audit_sequence after;
    /// Maximum number of records in one result, oldest first.
    std::size_t limit = 1'000;
};

} // namespace damaskladder::control
