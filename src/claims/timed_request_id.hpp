#pragma once

#include "base/request_id.hpp"
#include "base/result.hpp"
#include "base/time.hpp"
#include "claims/request_id_age.hpp"

#include <string>

namespace damaskladder::claims {

/// A request id of the form "<unix seconds>-<opaque>", as required of non-idempotent requests.
struct timed_request_id {
    static constexpr std::size_t max_length = 128;

    base::wall_time time;
    std::string opaque;

    /// Parses an id: 1 to 11 digits without leading zero, a dash, and at least one visible ASCII
    /// character. Fails with invalid_argument or too_large.
    static base::result<timed_request_id> parse(const base::request_id& id);

    /// Compares the id's time with wall-clock time. The log repeats the check with its own time.
    request_id_age age(base::wall_time now, base::wall_clock::duration retention,
                       base::wall_clock::duration max_ahead) const;
};

} // namespace damaskladder::claims
