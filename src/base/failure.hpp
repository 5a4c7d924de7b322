#pragma once

#include "base/failure_kind.hpp"

#include <string>

namespace damaskladder::base {

/// An error as it travels through result<T>: what went wrong, at which step and with which peer.
struct failure {
    failure_kind kind = failure_kind::internal;
    /// The operation that failed, for example "open data folder".
    std::string step;
    /// Address, node, file or setting concerned; empty if there is none.
    std::string peer;
    /// One line that a person can act on.
    std::string text;

    friend bool operator==(const failure&, const failure&) = default;
};

/// One line: "STEP: TEXT (peer PEER, KIND)".
std::string to_string(const failure& error);

} // namespace damaskladder::base
