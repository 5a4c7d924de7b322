#pragma once

#include "base/time.hpp"

#include <optional>

namespace damaskladder::membership {

/// When a node answers a record of itself that is newer than its own: news of its death, or a
/// record of an earlier run. The first time at once; if that goes on, because most of its observers
/// cannot hear it or two nodes have the same id, it waits twice as long each time, so that it does
/// not fill the fleet with news.
class refutation_timer {
public:
    explicit refutation_timer(base::duration max_delay) : m_max_delay(max_delay) {}

    /// Such a record arrived. Has no effect while a refutation is due.
    void schedule(base::time_point now);

    /// True once when the refutation is due.
    bool take_due(base::time_point now);

private:
    base::duration m_max_delay;
    base::duration m_delay{};
    base::time_point m_last{};
    bool m_refuted = false;
    std::optional<base::time_point> m_due;
};

} // namespace damaskladder::membership
