#include "daemon/announce_permission.hpp"

#include <sodium.h>

#include <algorithm>
#include <string>

namespace damaskladder::daemon {

namespace {

/// Compares two secrets in a time that does not depend on the position of the first difference.
bool equal_secrets(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

bool may_announce(const node_settings& settings, const membership::credential_text& credential,
                  const base::service_id& service)
{
    const auto& services = settings.services;
    const bool served = service == base::service_id() ||
                        std::find(services.begin(), services.end(), service) != services.end();
    return served && equal_secrets(credential.value(), settings.credential);
}

} // namespace damaskladder::daemon
