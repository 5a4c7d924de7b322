#pragma once

#include "base/time.hpp"
#include "node/leaving_service.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace damaskladder::daemon {

/// Reports which part of the requests leaves the own failure domain.
class leaving_report {
public:
    /// Returns the current state of all services.
    using source = std::function<std::vector<node::leaving_service>()>;
    /// Reports that the leaving part of a service has passed the threshold, upward or downward.
    using crossing_hook = std::function<void(const node::leaving_service&, bool upward)>;

    leaving_report(source services, crossing_hook crossed)
        : m_services(std::move(services)), m_crossed(std::move(crossed))
    {
    }

    /// Checks the services at most every 3 s. Returns the time of the next check.
    base::time_point round(base::time_point now);

    /// Metrics in the Prometheus text exposition format, for the 20 services of which most leaves.
    std::string metrics() const;

private:
    source m_services;
    crossing_hook m_crossed;
    std::set<base::service_id> m_above;
    base::time_point m_next;
};

} // namespace damaskladder::daemon
