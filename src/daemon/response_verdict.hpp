#pragma once

namespace damaskladder::daemon {

/// What the head of a backend server's answer says about the request it was sent for.
enum class response_verdict {
    /// It answers the request.
    matches,
    /// The backend server has not run the request and will not.
    not_run,
    /// It belongs to another request, or lacks what an answer must have.
    mismatched,
};

} // namespace damaskladder::daemon
