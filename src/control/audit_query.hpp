#pragma once

#include "base/operator_id.hpp"
#include "base/time.hpp"
#include "control/audit_sequence.hpp"
#include "settings/setting_path.hpp"

#include <cstddef>
#include <optional>

namespace damaskladder::control {

/// Selects audit records. All conditions hold together.
struct audit_query {
    /// Only records within this path; the default is the root.
    settings::setting_path root;
    std::optional<base::operator_id> who;
    /// Only from this calendar time on, and before the other.
    std::optional<base::wall_time> from;
    std::optional<base::wall_time> until;
    /// Only after this record.
    audit_sequence after;
    /// Most records in one answer, oldest first.
    std::size_t limit = 1'000;
};

} // namespace damaskladder::control
