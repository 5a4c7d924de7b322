#include "daemon/view_builder.hpp"

#include <algorithm>
#include <unordered_map>

namespace damaskladder::daemon {

/// Compiled settings in the form that the traffic state machine reads; shared by the hooks of a
/// view.
struct settings_tables {
    std::shared_ptr<const settings::compiled_settings> settings;
    std::unordered_map<base::route_id, node::route_entry> routes;
    std::unordered_map<base::key_id, node::key_entry> keys;
    /// Rank of the workspaces with the highest precedence.
    std::int64_t lowest_rank = 0;
};

namespace {

node::route_entry make_route(const settings::route_settings& from,
                             const settings::compiled_settings& settings)
{
    node::route_entry route;
    route.route = from.id;
    route.service = from.service;
    route.open = from.open;
    route.idempotent = from.idempotent;
    route.streaming = from.streaming;
    route.importance = from.importance;
    route.split = from.split;
    route.timeout = from.timeout;
    route.latency_goal = from.latency_goal;
    route.attempts = from.attempts;
    route.claimed = from.run_once_per == settings::once_scope::request_id;
    if (!from.all_workspaces) {
        route.workspaces = from.workspaces;
        if (route.workspaces.empty()) {
            // In node::route_entry an empty list admits every workspace. A route without workspaces
            // gets a list with an empty name, which no workspace has.
            route.workspaces.emplace_back();
        }
    }
    route.retries = from.retries;
    route.max_body = from.max_body;
    route.max_staleness = settings.limits_of(from.team).max_staleness;
    return route;
}

/// Lowers an importance by one level for each rank below the highest precedence.
base::importance lower_importance(base::importance of_route, std::int64_t steps)
{
    const auto level = static_cast<std::int64_t>(of_route) - steps;
    return static_cast<base::importance>(std::max<std::int64_t>(level, 0));
}

void set_hooks(node::node_view& view, const std::shared_ptr<const settings_tables>& tables)
{
    view.match_route = [tables](std::string_view path,
                                std::string_view host) -> const node::route_entry* {
        const auto* route = tables->settings->match_route(path, host);
        return route == nullptr ? nullptr : &tables->routes.at(route->id);
    };
    view.find_key = [tables](const base::key_hash& hash) -> const node::key_entry* {
        const auto* key = tables->settings->find_key(hash);
        return key == nullptr ? nullptr : &tables->keys.at(key->id);
    };
    view.key_active = [tables](const base::key_id& id) {
        const auto found = tables->keys.find(id);
        return found != tables->keys.end() && found->second.active;
    };
    view.importance_of = [tables](base::importance of_route, const base::workspace_id& id) {
        const auto* workspace = tables->settings->find_workspace(id);
        return workspace == nullptr
                   ? of_route
                   : lower_importance(of_route, workspace->rank - tables->lowest_rank);
    };
    view.weight_of = [tables](const base::workspace_id& id) {
        const auto* workspace = tables->settings->find_workspace(id);
        return workspace == nullptr ? base::share_weight(1) : workspace->weight;
    };
}

base::slot_count reported_slots(membership::load_level level, base::slot_count slots)
{
    switch (level) {
    case membership::load_level::normal:
        return base::slot_count(0);
    case membership::load_level::high:
        return base::slot_count(slots.value() / 2);
    case membership::load_level::full:
        break;
    }
    return slots;
}

bool has_cold_limit(const base::service_id& id, const settings::compiled_settings& settings)
{
    const auto* service = settings.find_service(id);
    return service != nullptr && service->cold_rate;
}

void add_services(const view_sources& from, traffic_view& out, node::node_view& view)
{
    const auto& settings = *from.settings->settings;
    for (const auto& service : from.services->services()) {
        node::service_entry entry;
        entry.service = service;
        for (const auto& endpoint : from.services->endpoints(service)) {
            if (endpoint.reach != membership::reachability::reachable) {
                continue;
            }
            const auto address = base::handle_failure(
                [&]() -> base::result<http::address> {
                    return http::parse_address(endpoint.traffic.value());
                },
                [](const base::failure&) { return http::address(); });
            if (address.port == 0) {
                continue;
            }
            out.gatekeepers[endpoint.node] = address;
            const auto& backend = endpoint.backend;
            const bool cold = backend.cold && has_cold_limit(service, settings);
            entry.servers.push_back({endpoint.node, endpoint.incarnation, endpoint.domain,
                                     backend.slots, reported_slots(endpoint.load, backend.slots),
                                     backend.draining || settings.is_evacuated(endpoint.domain),
                                     cold});
        }
        view.services.push_back(std::move(entry));
    }
    std::sort(view.services.begin(), view.services.end(),
              [](const auto& a, const auto& b) { return a.service < b.service; });
}

bool uses(const settings::route_settings& route, const base::service_id& service)
{
    return route.service == service ||
           std::any_of(route.split.begin(), route.split.end(),
                       [&](const auto& part) { return part.service == service; });
}

base::duration longest_staleness(const base::service_id& service,
                                 const settings::compiled_settings& settings)
{
    base::duration longest{0};
    for (const auto& route : settings.routes()) {
        if (uses(route, service)) {
            longest = std::max(longest, settings.limits_of(route.team).max_staleness);
        }
    }
    return longest;
}

void add_local(const view_sources& from, traffic_view& out, node::node_view& view)
{
    for (const auto& announced : from.local) {
        const auto& backend = announced.backend;
        node::local_backend_server local;
        local.service = backend.service;
        local.slots = backend.slots;
        local.cold = backend.cold;
        local.draining = backend.draining;
        local.instance = backend.instance;
        local.evacuated = from.settings->settings->is_evacuated(from.domain);
        local.max_staleness = longest_staleness(backend.service, *from.settings->settings);
        local.cold_until = announced.cold_until;
        local.announced_at = announced.announced_at;
        const auto& settings = *from.settings->settings;
        if (has_cold_limit(backend.service, settings)) {
            local.cold_burst = settings.find_service(backend.service)->cold_burst;
        }
        view.local.push_back(local);
        out.local[backend.service] = {from.backend_server_host, backend.port.value()};
    }
}

} // namespace

std::shared_ptr<const settings_tables>
make_tables(std::shared_ptr<const settings::compiled_settings> from)
{
    const auto tables = std::make_shared<settings_tables>();
    for (const auto& route : from->routes()) {
        tables->routes[route.id] = make_route(route, *from);
    }
    for (const auto& key : from->keys()) {
        tables->keys[key.id] = {key.id, key.workspace, key.state == settings::key_state::active};
    }
    for (const auto& workspace : from->workspaces()) {
        const bool first = &workspace == from->workspaces().data();
        tables->lowest_rank =
            first ? workspace.rank : std::min(tables->lowest_rank, workspace.rank);
    }
    tables->settings = std::move(from);
    return tables;
}

std::shared_ptr<const traffic_view> build_view(const view_sources& from)
{
    auto out = std::make_shared<traffic_view>();
    auto view = std::make_shared<node::node_view>();
    view->self = from.self;
    view->own_domain = from.domain;
    view->started_at = from.started_at;
    view->settings_confirmed_at = from.settings_confirmed_at;
    view->settings_version = from.settings->settings->version();
    set_hooks(*view, from.settings);
    add_services(from, *out, *view);
    add_local(from, *out, *view);
    out->evacuated = from.settings->settings->evacuated_domains();
    out->node = std::move(view);
    return out;
}

} // namespace damaskladder::daemon
