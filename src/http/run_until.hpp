#pragma once

#include "http/event_loop.hpp"

#include <chrono>
#include <functional>

namespace damaskladder::http {

/// Test helper: runs the loop on the current thread until a condition holds, and returns whether it
/// does. Times out after 20 s, which only a failing test reaches.
inline bool run_until(event_loop& loop, const std::function<bool()>& done)
{
    const auto give_up = event_loop::now() + std::chrono::seconds(20);
    while (!done() && event_loop::now() < give_up) {
        loop.call_at(event_loop::now() + std::chrono::milliseconds(1), [&loop] { loop.stop(); });
        loop.run();
    }
    return done();
}

} // namespace damaskladder::http
