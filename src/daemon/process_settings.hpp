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

/// Settings file of one process, in INI format. A VM with a disk may run a node and a control
/// replica in one process.
///
///     [process]       name, failure_domain, secret_file or secret, messages (IP:PORT for other
///                     processes), interface (own, platform)
///     [seeds]         addresses (list of IP:PORT; messages addresses of a few nodes)
///     [replicas/NAME] messages (IP:PORT), one section for each control replica of the cluster
///     [discovery]     control_vms (list of IP:PORT, operator listeners of some control VMs),
///                     messages_port (of all processes), forms_cluster (yes at the first start of
///                     the whole system), membership (failure_domains, fleet)
///     [node]          callers, peers, backend_server (IP:PORT each), connections, stop_limit,
///                     ready (IP:PORT of a readiness check), serve_while_stopping (yes, no),
///                     retry_budget (a fraction), guard_processor (yes, no),
///                     admit_by_call_tree (yes, no),
///                     place_by_completion (yes, no), crossing_cost (a duration)
///     [announce]      credential, services (what the backend server on this VM may announce),
///                     host (its IP address), interval (between announcements),
///                     exact_slots (yes, no)
///     [control]       operators (IP:PORT), data (folder), admin, admin_token_hash,
///                     failure_domains (list of names, may be empty)
///     [log]           level (debug, info, warn, error), format (text, json)
///
/// At least one of [node] and [control] is required. [discovery] replaces [seeds] and [replicas]: a
/// control replica is then named by its IP address, and replicas that are added later are found
/// through the known ones.
struct process_settings {
    base::node_id name;
    base::failure_domain_id domain;
    std::string secret_file;
    /// Alternative to secret_file, for settings files that are themselves kept secret.
    std::string secret;
    /// HTTP interface to callers, backend servers and operators.
    std::string interface = "own";
    http::address messages;
    std::vector<http::address> seeds;
    /// Messages address of each control replica, by process name.
    std::map<base::node_id, http::address> replicas;
    /// Whether control replicas are discovered by address, see [discovery].
    bool discovers_replicas = false;
    /// With discovers_replicas: whether this start forms the cluster of the listed replicas.
    bool forms_cluster = false;
    /// All nodes monitor each other as one group, which suits fleets of up to a few hundred nodes;
    /// otherwise each failure domain is a group.
    bool whole_fleet_membership = false;
    /// With discovers_replicas: port for the messages of all processes.
    std::uint16_t messages_port = 0;
    std::optional<node_settings> node;
    std::optional<replica_settings> replica;
    log_settings log;
};

/// Result of parsing a settings file; the settings are valid only if there are no problems.
struct process_settings_document {
    process_settings settings;
    settings::settings_problems problems;
};

/// Parses and validates the whole text. Each problem names file, line, section, key and what was
/// expected.
process_settings_document read_process_settings(std::string_view text, const std::string& file);

} // namespace damaskladder::daemon
