#pragma once

#include "base/request_id.hpp"
#include "base/time.hpp"

#include <optional>

namespace damaskladder::control {

/// Time in a request id "<unix seconds>-<opaque>", with 1 to 11 digits and 1 to 100 printable
/// characters. Nothing if the id has another form.
std::optional<base::wall_time> parse_claim_time(const base::request_id& id);

} // namespace damaskladder::control
