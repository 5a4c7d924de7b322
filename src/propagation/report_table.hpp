#pragma once

#include "base/failure_domain_id.hpp"
#include "base/node_id.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "propagation/domain_report.hpp"
#include "propagation/domain_status.hpp"
#include "propagation/poll.hpp"
#include "propagation/propagation_options.hpp"
#include "propagation/report.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace damaskladder::propagation {

/// Applied versions, from polls and from the reports of relays. Entries expire after the report
/// window. Sizes are bounded by max_pollers, max_reporters and max_domains of the options.
class report_table {
public:
    explicit report_table(const propagation_options& options);

    void add(const base::node_id& from, const poll& body, base::time_point now);
    void add(const base::node_id& from, const report& body, base::time_point now);
    /// Sets the newest version, which exists from now on.
    void set_latest(base::settings_version version, base::time_point now);

    /// Drops expired entries and records which failure domains have the latest version. Returns
    /// true if one has reached it since the last call, so that this can be reported at once.
    bool refresh(base::time_point now);

    /// One entry per failure domain, as of the last refresh.
    std::vector<domain_report> reports() const;
    std::vector<domain_status> statuses() const;

private:
    struct received_poll {
        base::failure_domain_id domain;
        base::settings_version version;
        base::time_point received_at;
    };
    struct received_report {
        report body;
        base::time_point received_at;
    };

    void merge(const domain_report& part);

    base::duration m_window;
    std::size_t m_max_pollers;
    std::size_t m_max_reporters;
    std::size_t m_max_domains;
    std::map<base::node_id, received_poll> m_polls;
    std::map<base::node_id, received_report> m_reports;
    std::map<base::failure_domain_id, domain_report> m_merged;
    base::settings_version m_latest;
    base::time_point m_latest_since{};
    std::map<base::failure_domain_id, base::duration> m_rollout_times;
};

} // namespace damaskladder::propagation
