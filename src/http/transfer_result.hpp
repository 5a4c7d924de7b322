#pragma once

#include <string>

namespace damaskladder::http {

/// Result of a client transfer.
struct transfer_result {
    enum class kind {
        /// The complete response was received.
        complete,
        /// No connection was available; no byte of the request was sent.
        not_sent,
        /// The connection failed, or the response was malformed or incomplete, after sending may
        /// have begun.
        broken,
        /// cancel() was called after sending may have begun.
        cancelled,
    };

    kind completion = kind::broken;
    /// Human-readable reason; empty if complete.
    std::string text;
};

} // namespace damaskladder::http
