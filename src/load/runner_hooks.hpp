#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <functional>

namespace damaskladder::load {

/// What a load_runner takes from its surroundings. All hooks must be set.
struct runner_hooks {
    /// Calendar time for request ids.
    std::function<base::wall_time()> wall_clock;
    /// Opaque part of request ids; must differ from run to run, as the nodes remember ids.
    base::random_source random;
    /// Runs once, when the last result is in.
    std::function<void()> finished;
};

} // namespace damaskladder::load
