#pragma once

namespace damaskladder::daemon {

/// Whether the response head of a backend server belongs to the request that was sent.
enum class response_verdict {
    /// The response belongs to the request.
    matches,
    /// The backend server has not run the request and will not run it.
    not_run,
    /// The response belongs to another request or lacks a required field.
    mismatched,
};

} // namespace damaskladder::daemon
