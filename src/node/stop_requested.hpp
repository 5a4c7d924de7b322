#pragma once

namespace damaskladder::node {

/// Event: the node starts its graceful stop. Running requests and their onward calls finish.
struct stop_requested {};

} // namespace damaskladder::node
