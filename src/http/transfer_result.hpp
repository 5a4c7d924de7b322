#pragma once

#include <string>

namespace damaskladder::http {

/// How a transfer of the client ended.
struct transfer_result {
    enum class kind {
        /// The whole answer was received.
        complete,
        /// No connection could be made; no byte of the request was sent.
        not_sent,
        /// The connection broke, or the answer was malformed or short, after sending may have
        /// begun.
        broken,
        /// cancel() was called after sending may have begun.
        cancelled,
    };

    kind completion = kind::broken;
    /// Reason for a person, empty if complete.
    std::string text;
};

} // namespace damaskladder::http
