#include "daemon/shedding_log.hpp"

#include "daemon/log.hpp"
#include "http/event_loop.hpp"

namespace damaskladder::daemon {

void shedding_log::operator()(const admission::route_pressure& route, bool began)
{
    if (!m_limiter.take(http::event_loop::now())) {
        return;
    }
    log(log_level::info, began ? "tree_shedding_began" : "tree_shedding_ended",
        {{"route", route.route.value()},
         {"pressure", std::to_string(route.pressure.value())},
         {"shed", std::to_string(route.shed)},
         {"suppressed", std::to_string(m_limiter.take_suppressed())}});
}

} // namespace damaskladder::daemon
