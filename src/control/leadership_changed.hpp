#pragma once

namespace damaskladder::control {

/// Effect: this replica gained or lost leadership.
struct leadership_changed {
    bool leads = false;
};

} // namespace damaskladder::control
