#pragma once

#include "propagation/chunk_request.hpp"
#include "propagation/copy_chunk.hpp"
#include "propagation/poll.hpp"
#include "propagation/replica_list.hpp"
#include "propagation/report.hpp"
#include "propagation/update.hpp"

#include <variant>

namespace damaskladder::propagation {

/// Any message of the propagation protocol.
using message = std::variant<poll, update, chunk_request, copy_chunk, report, replica_list>;

} // namespace damaskladder::propagation
