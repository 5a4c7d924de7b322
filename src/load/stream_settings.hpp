#pragma once

#include "base/workspace_id.hpp"
#include "load/request_rate.hpp"
#include "load/stream_name.hpp"

#include <string>

namespace damaskladder::load {

/// One stream of like requests.
struct stream_settings {
    stream_name name;
    /// Request path, and query if there is one.
    std::string path;
    std::string method = "GET";
    /// Label for the report. The key decides the workspace that a node sees.
    base::workspace_id workspace;
    /// File that holds the key; empty for requests without one.
    std::string key_file;
    request_rate rate;
    /// Word for Damaskladder-Importance; empty for none.
    std::string importance;
    /// Each request carries an Idempotency-Key of its own, kept in its further attempts.
    bool non_idempotent = false;
    /// Further attempts made at once after a refusal.
    unsigned retries = 0;
    /// The stream keeps to the rate of its workspace, so a refusal for rate is wrongful.
    bool within_rate = false;
};

} // namespace damaskladder::load
