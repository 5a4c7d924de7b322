#pragma once

#include "http/exchange.hpp"
#include "http/transfer.hpp"

#include <memory>
#include <string>

namespace damaskladder::standin {

/// A request that is waiting or running in the stand-in backend server.
struct running_request {
    std::shared_ptr<http::exchange> exchange;
    /// The onward call in progress, if any.
    std::shared_ptr<http::transfer> onward;
    /// Index of the next onward call.
    std::size_t next_onward = 0;
    bool running = false;
    bool ended = false;
};

} // namespace damaskladder::standin
