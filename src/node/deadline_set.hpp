#pragma once

#include "base/time.hpp"
#include "node/exchange_id.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace damaskladder::node {

/// Timers of exchanges, ordered by time; each exchange has at most one.
class deadline_set {
public:
    /// Sets the time of an exchange, or replaces it.
    void set(exchange_id exchange, base::time_point at);
    void erase(exchange_id exchange);

    /// Removes and returns the exchange with the earliest time, if that is not after `now`.
    std::optional<exchange_id> take_due(base::time_point now);

    std::optional<base::time_point> earliest() const;

private:
    std::set<std::pair<base::time_point, exchange_id>> m_by_time;
    std::unordered_map<exchange_id, base::time_point> m_times;
};

} // namespace damaskladder::node
