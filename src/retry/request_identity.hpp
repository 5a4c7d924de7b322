#pragma once

#include "base/request_id.hpp"
#include "base/workspace_id.hpp"

#include <cstddef>
#include <functional>

namespace damaskladder::retry {

/// Identifies a request for deduplication: requests of one workspace with the same request id are
/// repeats of each other.
struct request_identity {
    base::workspace_id workspace;
    base::request_id request;

    friend bool operator==(const request_identity&, const request_identity&) = default;
};

struct request_identity_hash {
    std::size_t operator()(const request_identity& identity) const
    {
        constexpr std::size_t mix = 0x9e3779b97f4a7c15;
        return std::hash<base::workspace_id>{}(identity.workspace) * mix +
               std::hash<base::request_id>{}(identity.request);
    }
};

} // namespace damaskladder::retry
