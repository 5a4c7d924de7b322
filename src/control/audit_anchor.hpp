#pragma once

#include "control/audit_sequence.hpp"
#include "control/chain_hash.hpp"

namespace damaskladder::control {

/// A position in the audit chain. The default is the position before the first record.
struct audit_anchor {
    audit_sequence sequence;
    chain_hash hash;

    friend bool operator==(const audit_anchor&, const audit_anchor&) = default;
};

} // namespace damaskladder::control
