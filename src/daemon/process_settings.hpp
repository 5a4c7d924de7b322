#pragma once

#include "base/failure_domain_id.hpp"
#include "base/node_id.hpp"
#include "base/operator_id.hpp"
#include "base/service_id.hpp"
#include "daemon/log_settings.hpp"
#include "daemon/node_settings.hpp"
#include "daemon/replica_settings.hpp"
#include "http/address.hpp"
#include "settings/settings_problem.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::daemon {

/// Settings file of one process (INI). A VM with a disk may run a node and a control replica in one
/// process.
///
///     [process]       name, failure_domain, secret_file or secret, messages (IP:PORT for other
///                     processes), interface (own, platform)
///     [seeds]         addresses (list of IP:PORT; messages addresses of a few nodes)
///     [replicas/NAME] messages (IP:PORT), one section for each control replica of the cluster
///     [discovery]     control_vms (list of IP:PORT, where some control VMs serve operators),
///                     messages_port (of all processes), forms_cluster (yes at the first start of
///                     the whole system), membership (failure_domains, fleet)
///     [node]          callers, peers, backend_server (IP:PORT each), connections, stop_limit,
///                     ready (IP:PORT of a readiness check), serve_while_stopping (yes, no),
///                     retry_budget (a fraction), guard_processor (yes, no)
///     [announce]      credential, services (what the backend server on this VM may announce),
///                     host (its IP address), interval (between announcements),
///                     exact_slots (yes, no)
///     [control]       operators (IP:PORT), data (folder), admin, admin_token_hash
///     [log]           level (debug, info, warn, error), format (text, json)
///
/// [node], [control] or both are present. [discovery] takes the place of [seeds] and [replicas]: a
/// control replica is then named by its IP address, and replicas that come later are found through
/// those that are known.
struct process_settings {
    base::node_id name;
    base::failure_domain_id domain;
    std::string secret_file;
    /// In place of secret_file, where the settings file itself is kept secret.
    std::string secret;
    /// How callers, backend servers and operators speak with this process.
    std::string interface = "own";
    http::address messages;
    std::vector<http::address> seeds;
    /// Messages address of each control replica, by process name.
    std::map<base::node_id, http::address> replicas;
    /// The control replicas are found by address, as above.
    bool discovers_replicas = false;
    /// With discovers_replicas: this start forms the cluster of the replicas listed.
    bool forms_cluster = false;
    /// All nodes watch each other as one group, which suits up to a few hundred; else those of each
    /// failure domain.
    bool whole_fleet_membership = false;
    /// With discovers_replicas: port of the messages of all processes.
    std::uint16_t messages_port = 0;
    std::optional<node_settings> node;
    std::optional<replica_settings> replica;
    log_settings log;
};

/// Settings read from a text, usable only if there are no problems.
struct process_settings_document {
    process_settings settings;
    settings::settings_problems problems;
};

/// Reads and checks the whole text; each problem names file, line, section, key and what was
/// expected.
process_settings_document read_process_settings(std::string_view text, const std::string& file);

} // namespace damaskladder::daemon
