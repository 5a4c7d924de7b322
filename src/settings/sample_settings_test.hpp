#pragma once

#include <string>

namespace damaskladder::settings {

/// A small tree that passes all checks; tests modify single fields of it.
inline std::string sample_settings()
{
    return "[fleet/domains/fd1]\n"
           "region = west\n"
           "lease_voters = n1, n2, n3\n"
           "share = 1/2\n"
           "[fleet/domains/fd2]\n"
           "region = west\n"
           "lease_voters = n4\n"
           "share = 0.5\n"
           "[teams/grants/workspaces/w1]\n"
           "rate = 100/s\n"
           "burst = 200\n"
           "[teams/grants/workspaces/w2]\n"
           "rate = 0.5/s\n"
           "burst = 1\n"
           "weight = 3\n"
           "[teams/grants/keys/k1]\n"
           "workspace = w1\n"
           "hash = " +
           std::string(64, 'a') +
           "\n"
           "state = active\n"
           "[teams/grants/routes/pay]\n"
           "prefix = /payments\n"
           "service = treasury\n"
           "idempotent = no\n"
           "workspaces = w1, w2\n"
           "timeout = 500ms\n"
           "max_body = 64KiB\n"
           "[teams/fairs/routes/calendar]\n"
           "prefix = /payments/calendar\n"
           "service = fairs\n"
           "idempotent = yes\n"
           "open = yes\n"
           "[teams/fairs/limits]\n"
           "max_staleness = 60s\n"
           "[teams/fairs/policy]\n"
           "revision = 2\n";
}

} // namespace damaskladder::settings
