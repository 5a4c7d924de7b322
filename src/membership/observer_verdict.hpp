#pragma once

namespace damaskladder::membership {

/// An observer's judgement of an observed node: it confirms that the node is alive, or suspects
/// that it failed.
enum class observer_verdict {
    confirms,
    suspects,
};

} // namespace damaskladder::membership
