#include "daemon/leaving_report.hpp"

#include <algorithm>
#include <sstream>

namespace damaskladder::daemon {

namespace {

constexpr double reported_part = 0.1;
constexpr base::duration check_interval = std::chrono::seconds(3);
constexpr std::size_t max_services = 20;

} // namespace

base::time_point leaving_report::round(base::time_point now)
{
    if (now < m_next) {
        return m_next;
    }
    m_next = now + check_interval;
    for (const auto& service : m_services()) {
        const bool is_above = service.part >= reported_part;
        if (is_above != m_above.contains(service.service)) {
            if (is_above) {
                m_above.insert(service.service);
            }
            else {
                m_above.erase(service.service);
            }
            m_crossed(service, is_above);
        }
    }
    return m_next;
}

std::string leaving_report::metrics() const
{
    auto services = m_services();
    std::sort(services.begin(), services.end(), [](const auto& a, const auto& b) {
        return a.part != b.part ? a.part > b.part : a.service < b.service;
    });
    services.resize(std::min(services.size(), max_services));
    std::ostringstream out;
    const auto write = [&](const char* name, double node::leaving_service::*value) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto& service : services) {
            out << name << "{service=\"" << service.service.value() << "\"} " << service.*value
                << '\n';
        }
    };
    write("damaskladder_leaving_domain_ratio", &node::leaving_service::part);
    write("damaskladder_own_domain_slowdown", &node::leaving_service::own_slowdown);
    write("damaskladder_other_domains_slowdown", &node::leaving_service::others_slowdown);
    return out.str();
}

} // namespace damaskladder::daemon
