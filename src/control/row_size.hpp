#pragma once

#include "base/byte_count.hpp"
#include "control/audit_record.hpp"
#include "control/cached_reply.hpp"
#include "control/proposal.hpp"
#include "control/version_record.hpp"

namespace damaskladder::control {

/// Approximate memory that a row of a replicated table takes; equal on all replicas.
base::byte_count row_size(const audit_record& row);
base::byte_count row_size(const cached_reply& row);
base::byte_count row_size(const proposal& row);
base::byte_count row_size(const version_record& row);

} // namespace damaskladder::control
