#pragma once

#include "base/importance.hpp"
#include "base/time.hpp"

#include <array>
#include <optional>

namespace damaskladder::admission {

/// Measures the shed level that a gatekeeper reports to senders: the highest importance level at
/// which nearly all calls are currently shed. A level that is shed only partially is not reported,
/// because senders that throttle it would leave slots idle. Counts decay exponentially with a
/// half-life of 100 ms, so that the report ends soon after the overload.
class shed_meter {
public:
    void started(base::importance level, base::time_point now);
    void shed(base::importance level, base::time_point now);

    std::optional<base::importance> level(base::time_point now) const;

private:
    struct decayed_counts {
        double started = 0;
        double shed = 0;
        base::time_point at;
    };

    static decayed_counts decayed(const decayed_counts& old, base::time_point now);

    std::array<decayed_counts, base::importance_levels> m_levels{};
};

} // namespace damaskladder::admission
