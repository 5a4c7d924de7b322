#pragma once

namespace damaskladder::control {

/// Effect: this replica began or ended to lead.
struct leadership_changed {
    bool leads = false;
};

} // namespace damaskladder::control
