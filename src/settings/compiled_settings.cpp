#include "settings/compiled_settings.hpp"

#include "settings/entry_kind.hpp"
#include "settings/request_path.hpp"
#include "settings/value_parsers.hpp"

#include <algorithm>
#include <string>

namespace damaskladder::settings {

namespace {

std::string text_of(const setting_entry& entry, const char* field)
{
    const auto* value = entry.find(field_name(field));
    return value == nullptr ? std::string() : value->value();
}

template <class Tag, class Rep>
void assign(std::int64_t parsed, base::quantity<Tag, Rep>& target)
{
    target = base::quantity<Tag, Rep>(static_cast<Rep>(parsed));
}

template <class Tag, class Rep>
void assign(std::int64_t parsed, base::strong_id<Tag, Rep>& target)
{
    target = base::strong_id<Tag, Rep>(static_cast<Rep>(parsed));
}

template <class Parsed, class Target>
void assign(const Parsed& parsed, Target& target)
{
    target = static_cast<Target>(parsed);
}

/// Overwrites target if the field is present and valid.
template <class Target, class Parser>
void read(const setting_entry& entry, const char* field, Parser parser, Target& target)
{
    const auto* value = entry.find(field_name(field));
    if (value == nullptr) {
        return;
    }
    if (auto parsed = parser(value->value())) {
        assign(*parsed, target);
    }
}

base::team_id team_of(const setting_path& path)
{
    return base::team_id(std::string(path.part(1)));
}

template <class Id>
std::vector<Id> ids_of(const std::string& text)
{
    std::vector<Id> ids;
    for (auto& name : parse_names(text).value_or(std::vector<std::string>())) {
        ids.emplace_back(std::move(name));
    }
    return ids;
}

/// Whether the first `length` characters of a path, at least one, end with a part or with the slash
/// behind it.
bool ends_at_part(std::string_view path, std::size_t length)
{
    return length == path.size() || path[length] == '/' || path[length - 1] == '/';
}

} // namespace

std::shared_ptr<const compiled_settings> compiled_settings::compile(const setting_tree& tree)
{
    // The constructor is private, so make_shared cannot be used.
    std::shared_ptr<compiled_settings> compiled(new compiled_settings);
    compiled->m_version = tree.version();
    for (const auto& [path, entry] : tree) {
        compiled->add_entry(path, entry);
    }
    compiled->set_default_shares();
    compiled->build_indexes();
    return compiled;
}

const route_settings* compiled_settings::match_route(std::string_view path,
                                                     std::string_view host) const
{
    if (!is_plain_request_path(path)) {
        return nullptr;
    }
    if (const auto* host_route = match_host_route(host, path)) {
        return host_route;
    }
    return host.empty() ? nullptr : match_host_route({}, path);
}

const route_settings* compiled_settings::match_host_route(std::string_view host,
                                                          std::string_view path) const
{
    const auto host_routes = m_routes_by_host.find(host);
    if (host_routes == m_routes_by_host.end()) {
        return nullptr;
    }
    const auto& by_prefix = host_routes->second;
    auto length = std::min(path.size(), m_longest_prefix);
    for (; length > 0; --length) {
        if (!ends_at_part(path, length)) {
            continue;
        }
        auto found = by_prefix.find(path.substr(0, length));
        if (found != by_prefix.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const route_settings* compiled_settings::find_route(const base::route_id& id) const
{
    auto found = m_route_by_id.find(id);
    return found == m_route_by_id.end() ? nullptr : found->second;
}

const key_settings* compiled_settings::find_key(const base::key_hash& hash) const
{
    auto found = m_key_by_hash.find(hash);
    return found == m_key_by_hash.end() ? nullptr : found->second;
}

const key_settings* compiled_settings::find_key(const base::key_id& id) const
{
    auto found = m_key_by_id.find(id);
    return found == m_key_by_id.end() ? nullptr : found->second;
}

const workspace_settings* compiled_settings::find_workspace(const base::workspace_id& id) const
{
    auto found = m_workspace_by_id.find(id);
    return found == m_workspace_by_id.end() ? nullptr : found->second;
}

const service_settings* compiled_settings::find_service(const base::service_id& id) const
{
    auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

const domain_settings* compiled_settings::find_domain(const base::failure_domain_id& id) const
{
    auto found = m_domain_by_id.find(id);
    return found == m_domain_by_id.end() ? nullptr : found->second;
}

bool compiled_settings::is_evacuated(const base::failure_domain_id& domain) const
{
    return m_evacuated.contains(domain);
}

const team_limits& compiled_settings::limits_of(const base::team_id& team) const
{
    auto found = m_limits.find(team);
    return found == m_limits.end() ? m_default_limits : found->second;
}

policy_revision compiled_settings::policy_of(const base::team_id& team) const
{
    auto found = m_policies.find(team);
    return found == m_policies.end() ? first_policy_revision : found->second;
}

void compiled_settings::add_entry(const setting_path& path, const setting_entry& entry)
{
    auto kind = kind_of(path);
    if (!kind) {
        return;
    }
    switch (*kind) {
    case entry_kind::route:
        add_route(path, entry);
        break;
    case entry_kind::workspace:
        add_workspace(path, entry);
        break;
    case entry_kind::key:
        add_key(path, entry);
        break;
    case entry_kind::limits:
        add_limits(path, entry);
        break;
    case entry_kind::policy:
        read(entry, "revision", parse_count, m_policies[team_of(path)]);
        break;
    case entry_kind::failure_domain:
        add_domain(path, entry);
        break;
    case entry_kind::evacuation:
        add_evacuation(path, entry);
        break;
    case entry_kind::service:
        add_service(path, entry);
        break;
    }
}

void compiled_settings::add_route(const setting_path& path, const setting_entry& entry)
{
    route_settings route;
    route.id = base::route_id(path.text());
    route.team = team_of(path);
    route.prefix = path_prefix(text_of(entry, "prefix"));
    route.host = text_of(entry, "host");
    route.service = base::service_id(text_of(entry, "service"));
    if (auto split = parse_split(text_of(entry, "split"))) {
        route.split = std::move(*split);
    }
    read(entry, "latency_goal", parse_duration, route.latency_goal);
    read(entry, "attempts", parse_count, route.attempts);
    read(entry, "run_once_per", parse_once_scope, route.run_once_per);
    read(entry, "open", parse_yes_no, route.open);
    read(entry, "idempotent", parse_yes_no, route.idempotent);
    read(entry, "streaming", parse_yes_no, route.streaming);
    read(entry, "importance", parse_importance, route.importance);
    read(entry, "timeout", parse_duration, route.timeout);
    read(entry, "retries", parse_count, route.retries);
    read(entry, "max_body", parse_bytes, route.max_body);
    auto workspaces = text_of(entry, "workspaces");
    route.all_workspaces = workspaces == "*";
    route.workspaces = ids_of<base::workspace_id>(workspaces);
    std::sort(route.workspaces.begin(), route.workspaces.end());
    if (is_path_prefix(route.prefix.value()) && !route.service.value().empty()) {
        m_routes.push_back(std::move(route));
    }
}

void compiled_settings::add_workspace(const setting_path& path, const setting_entry& entry)
{
    workspace_settings workspace;
    workspace.id = base::workspace_id(std::string(path.part(3)));
    workspace.team = team_of(path);
    read(entry, "rate", parse_rate, workspace.rate);
    read(entry, "burst", parse_count, workspace.burst);
    read(entry, "weight", parse_count, workspace.weight);
    read(entry, "rank", parse_count, workspace.rank);
    m_workspaces.push_back(std::move(workspace));
}

void compiled_settings::add_key(const setting_path& path, const setting_entry& entry)
{
    key_settings key;
    key.id = base::key_id(std::string(path.part(3)));
    key.team = team_of(path);
    key.workspace = base::workspace_id(text_of(entry, "workspace"));
    auto hash = parse_key_hash(text_of(entry, "hash"));
    if (!hash) {
        return;
    }
    key.hash = *hash;
    read(entry, "state", parse_key_state, key.state);
    m_keys.push_back(std::move(key));
}

void compiled_settings::add_service(const setting_path& path, const setting_entry& entry)
{
    service_settings service;
    service.id = base::service_id(std::string(path.part(3)));
    service.team = team_of(path);
    service.cold_rate = parse_rate(text_of(entry, "cold_rate"));
    if (service.cold_rate) {
        constexpr std::int64_t thousandths_per_request = 1'000;
        const std::int64_t thousandths = service.cold_rate->value();
        service.cold_burst =
            base::request_count(std::max<std::int64_t>(1, thousandths / thousandths_per_request));
    }
    read(entry, "cold_burst", parse_count, service.cold_burst);
    m_services.emplace(service.id, std::move(service));
}

void compiled_settings::add_limits(const setting_path& path, const setting_entry& entry)
{
    auto& limits = m_limits[team_of(path)];
    read(entry, "max_staleness", parse_duration, limits.max_staleness);
    read(entry, "max_queue", parse_count, limits.max_queue);
    read(entry, "slow_start", parse_duration, limits.slow_start);
    read(entry, "ejection", parse_duration, limits.ejection);
    read(entry, "max_ejected_percent", parse_count, limits.max_ejected_percent);
}

void compiled_settings::add_domain(const setting_path& path, const setting_entry& entry)
{
    domain_settings domain;
    domain.id = base::failure_domain_id(std::string(path.part(2)));
    read(entry, "share", parse_share, domain.share);
    domain.region = region_name(text_of(entry, "region"));
    domain.lease_voters = ids_of<base::node_id>(text_of(entry, "lease_voters"));
    m_domains.push_back(std::move(domain));
}

void compiled_settings::add_evacuation(const setting_path& path, const setting_entry& entry)
{
    bool active = false;
    read(entry, "active", parse_yes_no, active);
    if (active) {
        m_evacuated.insert(base::failure_domain_id(std::string(path.part(2))));
    }
}

void compiled_settings::set_default_shares()
{
    for (const auto& domain : m_domains) {
        if (domain.share.numerator != 0) {
            return;
        }
    }
    for (auto& domain : m_domains) {
        domain.share = {1, static_cast<std::int64_t>(m_domains.size())};
    }
}

void compiled_settings::build_indexes()
{
    for (const auto& route : m_routes) {
        m_routes_by_host[route.host].emplace(route.prefix.value(), &route);
        m_route_by_id.emplace(route.id, &route);
        m_longest_prefix = std::max(m_longest_prefix, route.prefix.value().size());
    }
    for (const auto& key : m_keys) {
        m_key_by_hash.emplace(key.hash, &key);
        m_key_by_id.emplace(key.id, &key);
    }
    for (const auto& workspace : m_workspaces) {
        m_workspace_by_id.emplace(workspace.id, &workspace);
    }
    for (const auto& domain : m_domains) {
        m_domain_by_id.emplace(domain.id, &domain);
    }
}

} // namespace damaskladder::settings
