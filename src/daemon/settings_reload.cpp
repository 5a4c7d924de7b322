#include "daemon/settings_reload.hpp"

#include <utility>

namespace damaskladder::daemon {

namespace {

/// Copies what may change at run time, so that the rest can be compared.
process_settings with_reloadable_of(process_settings base, const process_settings& from)
{
    base.seeds = from.seeds;
    base.replicas = from.replicas;
    base.log.level = from.log.level;
    // Describes the start of a process, not its present state.
    base.forms_cluster = from.forms_cluster;
    return base;
}

} // namespace

settings_reload reload_settings(const process_settings& running,
                                const process_settings_document& read)
{
    settings_reload decided;
    if (!read.problems.empty()) {
        decided.problem = to_string(read.problems.front());
        return decided;
    }
    const auto& wanted = read.settings;
    if (wanted.name != running.name || wanted.domain != running.domain) {
        decided.problem = "expected process " + running.name.value() + " in failure domain " +
                          running.domain.value() + ", found " + wanted.name.value() + " in " +
                          wanted.domain.value();
        return decided;
    }
    decided.in_force = with_reloadable_of(running, wanted);
    const auto& kept = *decided.in_force;
    const auto note = [&](bool same, const char* section) {
        if (!same) {
            decided.pending_restart.emplace_back(section);
        }
    };
    note(kept.secret_file == wanted.secret_file && kept.secret == wanted.secret &&
             kept.interface == wanted.interface && kept.messages == wanted.messages,
         "process");
    note(kept.discovers_replicas == wanted.discovers_replicas &&
             kept.whole_fleet_membership == wanted.whole_fleet_membership &&
             kept.messages_port == wanted.messages_port,
         "discovery");
    note(kept.node == wanted.node, "node");
    note(kept.replica == wanted.replica, "control");
    note(kept.log.json == wanted.log.json, "log");
    return decided;
}

} // namespace damaskladder::daemon
