#pragma once

#include "admission/requests_per_second.hpp"
#include "base/importance.hpp"
#include "base/time.hpp"

#include <optional>

namespace damaskladder::admission {

/// Limits the requests sent to a backend server that has named the rate it takes. A token bucket
/// that holds what the rate allows in one second, and at least one request. Less important requests
/// leave a part of the bucket to more important ones.
///
/// Load pattern: a degraded server that gets a multiple of what it can do.
class rate_limit {
public:
    /// Sets the rate, or ends the limit if there is none. The first rate starts with a full bucket;
    /// a changed rate keeps the tokens, up to the new size of the bucket.
    void set(std::optional<requests_per_second> rate, base::time_point now);

    /// Whether a request may be sent now.
    bool allows(base::importance level, base::time_point now) const;
    /// Counts a request that is sent.
    void take(base::time_point now);
    /// Time until allows() holds again if nothing else is sent. Zero if it holds.
    base::duration time_until_allowed(base::importance level, base::time_point now) const;
    /// Part of the bucket that is used up, 0 to 1. Zero without a limit.
    double used_share(base::time_point now) const;

private:
    double rate_per_second() const;
    double size() const;
    double tokens_at(base::time_point now) const;
    double required(base::importance level) const;

    std::optional<requests_per_second> m_rate;
    double m_tokens = 0;
    base::time_point m_updated{};
};

} // namespace damaskladder::admission
