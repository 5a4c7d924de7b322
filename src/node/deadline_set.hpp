#pragma once

#include "base/time.hpp"
#include "node/exchange_id.hpp"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace damaskladder::node {

/// Exchanges by the time at which they need attention; each has at most one such time.
class deadline_set {
public:
    /// Sets or moves the time of an exchange.
    void set(exchange_id exchange, base::time_point at);
    void erase(exchange_id exchange);

    /// Takes out an exchange whose time has come, the earliest first.
    std::optional<exchange_id> take_due(base::time_point now);

    std::optional<base::time_point> earliest() const;

private:
    std::set<std::pair<base::time_point, exchange_id>> m_by_time;
    std::unordered_map<exchange_id, base::time_point> m_times;
};

} // namespace damaskladder::node
