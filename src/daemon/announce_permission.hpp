#pragma once

#include "base/service_id.hpp"
#include "daemon/node_settings.hpp"
#include "membership/credential_text.hpp"

namespace damaskladder::daemon {

/// Whether the credential may announce the service at this node, or withdraw it. If the message
/// names no service, as a deregistration does, only the credential counts.
bool may_announce(const node_settings& settings, const membership::credential_text& credential,
                  const base::service_id& service);

} // namespace damaskladder::daemon
