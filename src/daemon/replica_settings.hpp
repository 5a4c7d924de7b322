#pragma once

#include "base/key_hash.hpp"
#include "base/operator_id.hpp"
#include "http/address.hpp"

#include <string>

namespace damaskladder::daemon {

/// Settings of the control replica part of a process.
struct replica_settings {
    /// Where operators connect.
    http::address operators;
    /// Data folder; must exist.
    std::string data;
    /// The first admin, created once the cluster has formed, and the hash of its token.
    base::operator_id admin;
    base::key_hash admin_token;
    /// A withdrawn key must be refused everywhere within this time; zero leaves the bound on the
    /// age of settings to the settings themselves.
    base::duration key_withdrawal{};
};

} // namespace damaskladder::daemon
