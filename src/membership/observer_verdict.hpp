#pragma once

namespace damaskladder::membership {

/// What an observer says of the node that it observes.
enum class observer_verdict {
    confirms,
    suspects,
};

} // namespace damaskladder::membership
