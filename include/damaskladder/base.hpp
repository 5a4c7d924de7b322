#pragma once

/// \file
/// base: types shared by all other libraries.
///
///     base::workspace_id workspace("w3");
///     base::result<int> r = base::fail(base::failure_kind::io, "open", path, "no such file");
///
/// Mixing identifiers (strong_id) or amounts (quantity) of different kinds does not compile. Times
/// are in microseconds on the monotonic clock of one process. Errors name the operation that failed
/// and the peer. Nothing in this library blocks, allocates without bound or reads a clock.

#include "base/attempt_id.hpp"
#include "base/byte_count.hpp"
#include "base/call_depth.hpp"
#include "base/call_id.hpp"
#include "base/chain_id.hpp"
#include "base/change_id.hpp"
#include "base/clock_drift.hpp"
#include "base/content_hash.hpp"
#include "base/document_version.hpp"
#include "base/failure.hpp"
#include "base/failure_domain_id.hpp"
#include "base/failure_kind.hpp"
#include "base/importance.hpp"
#include "base/incarnation.hpp"
#include "base/instance_id.hpp"
#include "base/key_hash.hpp"
#include "base/key_id.hpp"
#include "base/message_address.hpp"
#include "base/node_id.hpp"
#include "base/operator_id.hpp"
#include "base/port_number.hpp"
#include "base/quantity.hpp"
#include "base/random_source.hpp"
#include "base/request_count.hpp"
#include "base/request_id.hpp"
#include "base/result.hpp"
#include "base/retry_count.hpp"
#include "base/route_id.hpp"
#include "base/sequence_number.hpp"
#include "base/service_id.hpp"
#include "base/settings_version.hpp"
#include "base/share_weight.hpp"
#include "base/slot_count.hpp"
#include "base/status_code.hpp"
#include "base/strong_id.hpp"
#include "base/team_id.hpp"
#include "base/time.hpp"
#include "base/traffic_address.hpp"
#include "base/workspace_id.hpp"
