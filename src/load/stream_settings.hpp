#pragma once

#include "base/workspace_id.hpp"
#include "load/request_rate.hpp"
#include "load/stream_name.hpp"

#include <string>

namespace damaskladder::load {

/// A stream of requests with the same settings.
struct stream_settings {
    stream_name name;
    /// Request path, and query if there is one.
    std::string path;
    std::string method = "GET";
    /// Workspace in the report. Nodes determine the workspace from the key instead.
    base::workspace_id workspace;
    /// File that holds the key; empty for requests without one.
    std::string key_file;
    request_rate rate;
    /// Value of the header Damaskladder-Importance; empty to omit the header.
    std::string importance;
    /// Whether each request carries a unique Idempotency-Key, which its retries reuse.
    bool non_idempotent = false;
    /// Maximum number of immediate retries after refusals.
    unsigned retries = 0;
    /// Whether the stream stays within the rate of its workspace, so that a refusal for rate is
    /// wrongful.
    bool within_rate = false;
};

} // namespace damaskladder::load
