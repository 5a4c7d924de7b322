#pragma once

#include "base/random_source.hpp"
#include "base/time.hpp"

#include <functional>

namespace damaskladder::load {

/// External dependencies of a load_runner. All hooks must be set.
struct runner_hooks {
    /// Wall-clock time for request ids.
    std::function<base::wall_time()> wall_clock;
    /// Random part of request ids. Must differ between runs, because nodes retain request ids.
    base::random_source random;
    /// Called once, after the last result.
    std::function<void()> finished;
};

} // namespace damaskladder::load
