#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::quota {

/// Numbers the rounds of transfer requests of one lease term. Lender, borrower and number identify
/// a transfer and are never reused.
using transfer_number = base::strong_id<struct transfer_number_tag, std::uint64_t>;

} // namespace damaskladder::quota
