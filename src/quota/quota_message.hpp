#pragma once

#include "quota/borrow.hpp"
#include "quota/lend.hpp"
#include "quota/recall.hpp"
#include "quota/transfer.hpp"
#include "quota/transfer_ack.hpp"
#include "quota/transfer_request.hpp"

#include <variant>

namespace damaskladder::quota {

/// Any message of this library. The order of the alternatives is part of the wire format.
using quota_message = std::variant<borrow, lend, recall, transfer_request, transfer, transfer_ack>;

} // namespace damaskladder::quota
