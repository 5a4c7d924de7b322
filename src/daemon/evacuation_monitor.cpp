#include "daemon/evacuation_monitor.hpp"

namespace damaskladder::daemon {

void evacuation_monitor::update(const std::set<base::failure_domain_id>& evacuated,
                                std::size_t running)
{
    if (evacuated == m_evacuated) {
        return;
    }
    for (const auto& domain : evacuated) {
        if (!m_evacuated.contains(domain)) {
            m_changed(domain, true, running);
        }
    }
    for (const auto& domain : m_evacuated) {
        if (!evacuated.contains(domain)) {
            m_changed(domain, false, running);
        }
    }
    m_evacuated = evacuated;
}

std::string evacuation_monitor::metrics() const
{
    return "# TYPE damaskladder_evacuated_domains gauge\n"
           "damaskladder_evacuated_domains " +
           std::to_string(m_evacuated.size()) + "\n";
}

} // namespace damaskladder::daemon
