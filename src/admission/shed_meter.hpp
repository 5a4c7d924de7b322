#pragma once

#include "base/importance.hpp"
#include "base/time.hpp"

#include <array>
#include <optional>

namespace damaskladder::admission {

/// What a gatekeeper tells senders: the highest importance level of which it now sheds nearly all
/// calls. A level that is shed in part is not told, because senders that hold it back would leave
/// slots idle. Counts fade with a half-life of 100 ms, so the figure ends with its cause.
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
