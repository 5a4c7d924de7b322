#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::quota {

/// Numbers the asks of one holding. Lender, borrower and number identify a transfer for good.
using transfer_number = base::strong_id<struct transfer_number_tag, std::uint64_t>;

} // namespace damaskladder::quota
