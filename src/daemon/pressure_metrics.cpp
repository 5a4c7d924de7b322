#include "daemon/pressure_metrics.hpp"

#include <sstream>

namespace damaskladder::daemon {

std::string pressure_text(const std::vector<admission::route_pressure>& routes)
{
    if (routes.empty()) {
        return {};
    }
    std::ostringstream out;
    out << "# TYPE damaskladder_tree_pressure gauge\n";
    for (const auto& one : routes) {
        out << "damaskladder_tree_pressure{route=\"" << one.route << "\"} " << one.pressure << '\n';
    }
    out << "# TYPE damaskladder_tree_shed_fraction gauge\n";
    for (const auto& one : routes) {
        out << "damaskladder_tree_shed_fraction{route=\"" << one.route << "\"} " << one.shed
            << '\n';
    }
    return out.str();
}

} // namespace damaskladder::daemon
