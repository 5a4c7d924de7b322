#pragma once

#include "base/time.hpp"
#include "node/effect.hpp"
#include "node/event.hpp"
#include "node/node_view.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace damaskladder::daemon {

/// Interface to the state machine behind a traffic front end, usually a node::traffic_machine.
struct traffic_logic {
    std::function<void(const node::event&, const node::node_view&, base::time_point,
                       std::vector<node::effect>&)>
        handle;
    std::function<std::optional<base::time_point>()> next_deadline;
};

} // namespace damaskladder::daemon
