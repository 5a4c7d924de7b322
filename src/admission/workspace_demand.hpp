#pragma once

#include "base/time.hpp"
#include "base/workspace_id.hpp"

#include <unordered_map>

namespace damaskladder::admission {

/// Recent requests of each workspace, by which a shed fraction is divided so that the requests
/// admitted come near a max-min share: workspaces below the mean are shed last, and none is served
/// less than half as often as all. Bounded in memory; workspaces beyond the bound are treated as
/// one.
class workspace_demand {
public:
    void arrived(const base::workspace_id& workspace, base::time_point now);

    /// Probability with which to shed a request of a workspace so that at most `fraction` of all
    /// requests is shed.
    double shed_probability(const base::workspace_id& workspace, double fraction) const;

private:
    const base::workspace_id& bucket_of(const base::workspace_id& workspace) const;
    void decay(base::time_point now);

    std::unordered_map<base::workspace_id, double> m_recent;
    base::time_point m_decayed_at;
};

} // namespace damaskladder::admission
