#pragma once

#include "daemon/traffic_view.hpp"
#include "membership/local_announcement.hpp"
#include "membership/service_view.hpp"
#include "settings/compiled_settings.hpp"

#include <memory>
#include <vector>

namespace damaskladder::daemon {

struct settings_tables;

/// Converts settings to the form used by views. Called once per version, since its cost is
/// proportional to the size of the settings.
std::shared_ptr<const settings_tables>
make_tables(std::shared_ptr<const settings::compiled_settings> from);

/// Inputs for a view of the traffic thread.
struct view_sources {
    base::node_id self;
    base::failure_domain_id domain;
    /// Start of this node.
    base::time_point started_at;
    std::shared_ptr<const settings_tables> settings;
    base::time_point settings_confirmed_at;
    std::shared_ptr<const membership::service_view> services;
    /// Backend servers on this VM.
    std::vector<membership::local_announcement> local;
    /// IP address on which they listen.
    std::string backend_server_host;
};

/// Builds the immutable view that the control thread publishes.
std::shared_ptr<const traffic_view> build_view(const view_sources& from);

} // namespace damaskladder::daemon
