#pragma once

#include "base/failure_kind.hpp"

#include <string>

namespace damaskladder::base {

/// Error value of result<T>: what failed, in which operation and with which peer.
struct failure {
    failure_kind kind = failure_kind::internal;
    /// The operation that failed, for example "open data folder".
    std::string step;
    /// Address, node, file or setting that the error concerns; empty if there is none.
    std::string peer;
    /// One-line description from which an operator can tell what to do.
    std::string text;

    friend bool operator==(const failure&, const failure&) = default;
};

/// Formats the error as "STEP: TEXT (peer PEER, KIND)"; "peer PEER, " is left out if it is empty.
std::string to_string(const failure& error);

} // namespace damaskladder::base
