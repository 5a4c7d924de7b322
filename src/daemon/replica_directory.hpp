#pragma once

#include "daemon/process_settings.hpp"
#include "propagation/replica_list.hpp"

#include <optional>
#include <vector>

namespace damaskladder::daemon {

/// Where this process finds the control replicas.
///
/// The settings file names a few of them, which are only a first contact: there may be more, and
/// each may be replaced while this process runs. The present members come from the replicated log,
/// through the replica of this process or through the replicas that it polls.
class replica_directory {
public:
    explicit replica_directory(const process_settings& settings) : m_settings(settings) {}

    /// Sets the present members of the replicated log, and returns whether the list is newer than
    /// the known one. An older list is ignored.
    bool update(const propagation::replica_list& members);

    /// Known replicas without this process: the present members first, then those of the settings
    /// file, which may be the only ones left if this process missed several replacements.
    std::vector<propagation::peer> others() const;

    /// Whether a process is a known replica.
    bool contains(const base::node_id& replica) const;

    /// Messages address of a replica; nullopt if it is unknown. Where replicas are discovered by
    /// address, every name is one.
    std::optional<base::message_address> address_of(const base::node_id& replica) const;

private:
    const process_settings& m_settings;
    propagation::replica_list m_members;
};

} // namespace damaskladder::daemon
