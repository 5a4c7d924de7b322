#pragma once

#include "base/request_id.hpp"
#include "base/time.hpp"

#include <optional>

namespace damaskladder::control {

/// Parses the time in a request id of the form "<unix seconds>-<opaque>", with 1 to 11 digits and 1
/// to 100 printable characters other than blanks. Returns nullopt for any other form.
std::optional<base::wall_time> parse_claim_time(const base::request_id& id);

} // namespace damaskladder::control
