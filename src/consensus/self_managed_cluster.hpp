#pragma once

#include "consensus/membership_policy.hpp"
#include "consensus/requests_admission.hpp"
#include "consensus/test_cluster.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace damaskladder::consensus {

/// A cluster whose members are chosen by membership_policy, as in a fleet that finds its control
/// VMs by address. Three replicas form it, the others ask to join. Spare VMs are down at first.
class self_managed_cluster {
public:
    self_managed_cluster(std::size_t size, std::uint64_t seed, membership_policy_options options,
                         const replica_options& limits)
        : m_cluster(size + spare_replicas, seed, forming_options(limits)),
          m_max_voters(limits.max_voters),
          m_policies(size + spare_replicas, membership_policy(options)),
          m_size(size)
    {
        for (std::size_t i = size; i < m_cluster.size(); ++i) {
            m_cluster.crash(i, unsynced_data::lost);
        }
    }

    test_cluster& cluster() { return m_cluster; }
    std::size_t size() const { return m_size; }

    void run(base::duration amount)
    {
        for (base::duration passed{}; passed < amount; passed += policy_interval) {
            m_cluster.run(policy_interval);
            apply_policy();
        }
    }

    /// Runs until every replica that is up is a member, as many as allowed are voters, and no other
    /// replica is a member.
    bool settles(base::duration limit)
    {
        for (base::duration passed{}; passed < limit; passed += policy_interval) {
            run(policy_interval);
            if (is_settled()) {
                return m_cluster.violation().empty();
            }
        }
        return false;
    }

    /// Takes the VM away for good and starts a spare one in its place.
    void replace(std::size_t number)
    {
        m_cluster.crash(number, unsynced_data::lost);
        start_spare();
    }

    /// Returns the number of the spare VM.
    std::size_t start_spare()
    {
        const std::size_t number = m_size + m_spares_used++;
        m_cluster.start(number);
        return number;
    }

    /// A process without a place in the cluster that repeats a join request the leader refuses.
    void keep_asking(const replica_identity& identity) { m_refused_joins.push_back(identity); }

private:
    static constexpr base::duration policy_interval = std::chrono::milliseconds(300);
    static constexpr std::size_t forming_replicas = 3;
    static constexpr std::size_t spare_replicas = 15;

    static replica_options forming_options(replica_options options)
    {
        for (std::size_t i = 0; i < forming_replicas; ++i) {
            options.initial_replicas.push_back(test_cluster::id_of(i));
        }
        return options;
    }

    void apply_policy()
    {
        const auto leader = m_cluster.leader();
        if (!leader || m_cluster.is_frozen(*leader)) {
            return;
        }
        const auto now = m_cluster.now();
        auto& policy = m_policies[*leader];
        for (const auto& identity : m_refused_joins) {
            policy.on_join_request(identity, now);
        }
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            const bool runs = m_cluster.is_up(i) && !m_cluster.is_frozen(i);
            if (runs && requests_admission(m_cluster.status(i))) {
                policy.on_join_request(m_cluster.status(i).identity, now);
            }
        }
        if (const auto change = policy.next_change(m_cluster.status(*leader), now)) {
            const auto request = m_cluster.change(*leader, *change);
            const auto refused = m_cluster.refusals.find(request);
            if (refused != m_cluster.refusals.end()) {
                policy.on_refused(*change, refused->second, now);
            }
        }
    }

    bool is_settled() const
    {
        const auto& members = m_cluster.members();
        std::size_t live = 0;
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            const bool up = m_cluster.is_up(i);
            live += up ? 1 : 0;
            if (up && !m_cluster.is_member(i)) {
                return false;
            }
        }
        return members.members.size() == live &&
               members.voter_count() == std::min(live, m_max_voters);
    }

    test_cluster m_cluster;
    std::size_t m_max_voters;
    std::vector<membership_policy> m_policies;
    std::size_t m_size;
    std::size_t m_spares_used = 0;
    std::vector<replica_identity> m_refused_joins;
};

} // namespace damaskladder::consensus
