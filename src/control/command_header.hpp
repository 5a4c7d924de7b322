#pragma once

#include "base/change_id.hpp"
#include "base/operator_id.hpp"
#include "base/time.hpp"

namespace damaskladder::control {

/// Common fields of operators' commands. The caller has verified the operator's token.
struct command_header {
    /// 1 to 64 printable characters; unique per change and repeated in a resend.
    base::change_id change;
    base::operator_id author;
    /// The author's calendar time, for the audit trail only. Not part of the content of a change.
    base::wall_time when;

    friend bool operator==(const command_header&, const command_header&) = default;
};

} // namespace damaskladder::control
