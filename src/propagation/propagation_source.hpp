#pragma once

#include "propagation/effects.hpp"
#include "propagation/message.hpp"
#include "propagation/report_table.hpp"
#include "propagation/update_server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Serves settings at a control replica. A poll is answered only after the replica confirmed a read
/// that started after the poll arrived, so a replica that is cut off from its quorum answers no
/// polls. Polls that arrive during a confirmation are batched into the next one.
class propagation_source {
public:
    /// The copy hook returns the settings applied by the replica.
    propagation_source(const propagation_options& options, std::function<settings_copy()> copy);

    /// The replica applied a change or, if no difference is given, restored a snapshot or started.
    effects version_applied(base::settings_version version,
                            const std::optional<settings_difference>& difference,
                            base::time_point now);

    /// After the request, the replica confirmed with its quorum that it knew every accepted change.
    /// It has applied these changes and reported them through version_applied().
    effects read_confirmed(read_id id, base::time_point now);
    /// The replica could not confirm the read; its polls are not answered.
    effects read_failed(read_id id, base::time_point now);

    /// Call at least every 100 ms.
    effects tick(base::time_point now);
    /// Messages beyond the limits are dropped and counted.
    effects receive(const base::node_id& from, const message& body, base::time_point now);

    /// Sets the control replicas of which pollers are told. An older list is ignored.
    void set_replicas(const replica_list& replicas) { m_server.set_replicas(replicas); }

    /// One entry per failure domain, for `status`, as of the last tick.
    std::vector<domain_status> statuses() const { return m_reports.statuses(); }
    std::uint64_t refused_messages() const { return m_refused; }

private:
    using poll_map = std::map<base::node_id, poll>;

    void start_read(base::time_point now, effects& result);
    void abandon_read(base::time_point now, effects& result);

    propagation_options m_options;
    update_server m_server;
    report_table m_reports;
    base::settings_version m_version;
    read_id m_last_read;
    base::time_point m_read_started{};
    /// Polls that the current read will answer; empty if no read is in progress.
    poll_map m_polls_in_read;
    poll_map m_pending_polls;
    std::uint64_t m_refused = 0;
};

} // namespace damaskladder::propagation
