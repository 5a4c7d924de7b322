#pragma once

#include "base/request_id.hpp"
#include "base/workspace_id.hpp"

#include <compare>
#include <cstddef>
#include <functional>

namespace damaskladder::control {

/// Identifies a non-idempotent request. Request ids are scoped to a workspace, so ids of different
/// workspaces do not collide.
struct claim_key {
    base::workspace_id workspace;
    base::request_id request;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

} // namespace damaskladder::control

template <>
struct std::hash<damaskladder::control::claim_key> {
    std::size_t operator()(const damaskladder::control::claim_key& key) const
    {
        auto first = std::hash<std::string>{}(key.workspace.value());
        return first * 31 + std::hash<std::string>{}(key.request.value());
    }
};
