#pragma once

namespace damaskladder::node {

/// Event: the node begins a graceful stop. Running requests and their onward calls finish.
struct stop_requested {};

} // namespace damaskladder::node
