#pragma once

#include "base/failure_domain_id.hpp"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace damaskladder::daemon {

/// Reports which failure domains are evacuated at this node, as events and as metrics. Not
/// thread-safe.
class evacuation_monitor {
public:
    /// Called when an evacuation comes into force or ends at this node, with the number of calls in
    /// progress at the backend servers of this VM.
    using change_hook = std::function<void(const base::failure_domain_id& domain, bool evacuated,
                                           std::size_t running)>;

    explicit evacuation_monitor(change_hook changed) : m_changed(std::move(changed)) {}

    void update(const std::set<base::failure_domain_id>& evacuated, std::size_t running);

    /// Returns the metrics in the Prometheus text exposition format.
    std::string metrics() const;

private:
    change_hook m_changed;
    std::set<base::failure_domain_id> m_evacuated;
};

} // namespace damaskladder::daemon
