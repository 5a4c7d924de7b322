#pragma once

#include "base/settings_version.hpp"
#include "settings/domain_settings.hpp"
#include "settings/key_settings.hpp"
#include "settings/policy_revision.hpp"
#include "settings/route_settings.hpp"
#include "settings/service_settings.hpp"
#include "settings/setting_tree.hpp"
#include "settings/team_limits.hpp"
#include "settings/workspace_settings.hpp"

#include <cstddef>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damaskladder::settings {

/// Immutable typed form of a settings tree, indexed for fast lookups. Threads may share it without
/// locks. Returned pointers are valid for its lifetime.
class compiled_settings {
public:
    /// Compiles a tree that has passed checked_settings. Missing or malformed fields get their
    /// defaults; entries that cannot be used without such a field are omitted.
    static std::shared_ptr<const compiled_settings> compile(const setting_tree& tree);

    ~compiled_settings() = default;
    compiled_settings(const compiled_settings&) = delete;
    compiled_settings& operator=(const compiled_settings&) = delete;

    base::settings_version version() const { return m_version; }

    /// Route with the longest matching prefix of the request path (without query), among the routes
    /// of the host or, if none of these matches, among those of any host. A prefix matches whole
    /// parts of the path: "/pay" matches "/pay" and "/pay/1", not "/payments". A prefix that ends
    /// with a slash matches only paths that have it: "/pay/" matches "/pay/" and "/pay/1", not
    /// "/pay". Null if no route matches, and for paths with a "." or ".." part, plain or
    /// percent-encoded, which a backend server could resolve differently.
    const route_settings* match_route(std::string_view path, std::string_view host = {}) const;
    const route_settings* find_route(const base::route_id& id) const;
    /// Null if no key has this hash. The caller checks the state of the key.
    const key_settings* find_key(const base::key_hash& hash) const;
    const key_settings* find_key(const base::key_id& id) const;
    const workspace_settings* find_workspace(const base::workspace_id& id) const;
    /// Null if the service has no settings of its own.
    const service_settings* find_service(const base::service_id& id) const;
    const domain_settings* find_domain(const base::failure_domain_id& id) const;
    /// Whether the backend servers of the failure domain get no new requests.
    bool is_evacuated(const base::failure_domain_id& domain) const;
    /// Default limits if the team has none.
    const team_limits& limits_of(const base::team_id& team) const;
    policy_revision policy_of(const base::team_id& team) const;

    /// Sorted by path.
    const std::vector<route_settings>& routes() const { return m_routes; }
    const std::vector<workspace_settings>& workspaces() const { return m_workspaces; }
    const std::vector<key_settings>& keys() const { return m_keys; }
    const std::vector<domain_settings>& domains() const { return m_domains; }
    const std::set<base::failure_domain_id>& evacuated_domains() const { return m_evacuated; }

private:
    compiled_settings() = default;

    const route_settings* match_host_route(std::string_view host, std::string_view path) const;
    void add_entry(const setting_path& path, const setting_entry& entry);
    void add_route(const setting_path& path, const setting_entry& entry);
    void add_workspace(const setting_path& path, const setting_entry& entry);
    void add_key(const setting_path& path, const setting_entry& entry);
    void add_service(const setting_path& path, const setting_entry& entry);
    void add_limits(const setting_path& path, const setting_entry& entry);
    void add_domain(const setting_path& path, const setting_entry& entry);
    void add_evacuation(const setting_path& path, const setting_entry& entry);
    void set_default_shares();
    void build_indexes();

    base::settings_version m_version;
    std::vector<route_settings> m_routes;
    std::vector<workspace_settings> m_workspaces;
    std::vector<key_settings> m_keys;
    std::vector<domain_settings> m_domains;
    std::set<base::failure_domain_id> m_evacuated;
    std::unordered_map<base::service_id, service_settings> m_services;
    std::unordered_map<base::team_id, team_limits> m_limits;
    std::unordered_map<base::team_id, policy_revision> m_policies;
    team_limits m_default_limits;

    // The views point into the elements of the vectors above.
    std::unordered_map<std::string_view,
                       std::unordered_map<std::string_view, const route_settings*>>
        m_routes_by_host;
    std::unordered_map<base::route_id, const route_settings*> m_route_by_id;
    std::unordered_map<base::key_hash, const key_settings*> m_key_by_hash;
    std::unordered_map<base::key_id, const key_settings*> m_key_by_id;
    std::unordered_map<base::workspace_id, const workspace_settings*> m_workspace_by_id;
    std::unordered_map<base::failure_domain_id, const domain_settings*> m_domain_by_id;
    std::size_t m_longest_prefix = 0;
};

} // namespace damaskladder::settings
