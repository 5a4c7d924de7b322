#include "membership/announcement_registry.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::membership {

namespace {

/// Longest assumed delay of a message. Messages of a run are not expected later after its end.
constexpr base::duration run_memory = std::chrono::minutes(2);
/// Bounds the memory if a sender invents run names; the oldest run is forgotten.
constexpr std::size_t max_remembered_runs = 256;

} // namespace

announcement_registry::announcement_registry(announcement_options options)
    : m_options(std::move(options))
{
}

announce_verdict announcement_registry::announce(const announcement& request, base::time_point now)
{
    if (!valid(request)) {
        return announce_verdict::invalid;
    }
    if (!permitted(request.credential, request.service)) {
        return announce_verdict::not_permitted;
    }
    expire(now);
    if (is_outdated(request)) {
        return announce_verdict::outdated;
    }
    if (request.instance != base::instance_id()) {
        std::erase_if(m_leases, [&](const lease& held) {
            return held.backend.port == request.port && held.backend.instance != request.instance;
        });
    }
    const position found = find(request.service, request.port);
    if (found == m_leases.end() && m_leases.size() >= m_options.limits.backends_per_node) {
        return announce_verdict::too_many;
    }
    const bool same_run =
        found != m_leases.end() && found->position.started_ms == request.position.started_ms;
    const auto* before = found == m_leases.end() ? find_remembered(request) : nullptr;
    const bool draining = request.draining || (same_run && found->backend.draining) ||
                          (before != nullptr && before->draining);
    const bool drained_before = same_run && found->backend.draining;
    const bool has_cold_time = request.cold_left > base::duration::zero();
    const auto cold_for = has_cold_time  ? request.cold_left
                          : request.cold ? m_options.lease
                                         : base::duration::zero();
    const auto cold_until = now + cold_for;
    const lease renewed{{request.service, request.port, request.slots, request.connections,
                         cold_until > now, draining, request.instance},
                        now + m_options.lease,
                        request.position,
                        drained_before ? found->drains_from : request.position,
                        cold_until,
                        now};
    if (found != m_leases.end()) {
        *found = renewed;
    }
    else {
        m_leases.push_back(renewed);
    }
    return announce_verdict::accepted;
}

announce_verdict announcement_registry::withdraw(const announcement& request, base::time_point now)
{
    if (request.instance == base::instance_id()) {
        return withdraw(request.service, request.port, request.credential);
    }
    const auto found = std::find_if(m_leases.begin(), m_leases.end(), [&](const lease& held) {
        return held.backend.instance == request.instance;
    });
    if (found == m_leases.end()) {
        return withdraw_without_lease(request, now);
    }
    if (!permitted(request.credential, found->backend.service)) {
        return announce_verdict::not_permitted;
    }
    if (request.position != run_position() && request.position < found->position) {
        return announce_verdict::outdated;
    }
    remember({.instance = request.instance, .position = found->position, .withdrawn = true}, now);
    m_leases.erase(found);
    return announce_verdict::accepted;
}

announce_verdict announcement_registry::withdraw_without_lease(const announcement& request,
                                                               base::time_point now)
{
    if (!permitted(request.credential, request.service)) {
        return announce_verdict::not_permitted;
    }
    const auto latest =
        std::find_if(m_remembered.rbegin(), m_remembered.rend(),
                     [&](const remembered_run& run) { return run.instance == request.instance; });
    const bool positioned = request.position != run_position();
    if (latest != m_remembered.rend() && positioned && request.position < latest->position) {
        return announce_verdict::outdated;
    }
    if (latest != m_remembered.rend() &&
        (!positioned || request.position.started_ms == latest->position.started_ms)) {
        latest->withdrawn = true;
        return announce_verdict::accepted;
    }
    if (!positioned) {
        return announce_verdict::unknown;
    }
    remember({.instance = request.instance, .position = request.position, .withdrawn = true}, now);
    return announce_verdict::accepted;
}

announce_verdict announcement_registry::withdraw(const base::service_id& service,
                                                 base::port_number port,
                                                 const credential_text& credential)
{
    if (!permitted(credential, service)) {
        return announce_verdict::not_permitted;
    }
    const position found = find(service, port);
    if (found == m_leases.end()) {
        return announce_verdict::unknown;
    }
    m_leases.erase(found);
    return announce_verdict::accepted;
}

announce_verdict announcement_registry::drain(const base::service_id& service,
                                              base::port_number port,
                                              const credential_text& credential)
{
    if (!permitted(credential, service)) {
        return announce_verdict::not_permitted;
    }
    const position found = find(service, port);
    if (found == m_leases.end()) {
        return announce_verdict::unknown;
    }
    found->backend.draining = true;
    return announce_verdict::accepted;
}

bool announcement_registry::drain_run(const base::instance_id& run)
{
    const auto found = std::find_if(m_leases.begin(), m_leases.end(), [&](const lease& held) {
        return held.backend.instance == run && !held.backend.draining;
    });
    if (found == m_leases.end()) {
        return false;
    }
    found->backend.draining = true;
    found->drains_from = found->position;
    return true;
}

void announcement_registry::drain_all()
{
    for (lease& held : m_leases) {
        held.backend.draining = true;
    }
}

bool announcement_registry::expire(base::time_point now)
{
    for (const lease& held : m_leases) {
        if (held.ends <= now && held.backend.instance != base::instance_id()) {
            remember({.instance = held.backend.instance,
                      .position = held.position,
                      .draining = held.backend.draining},
                     now);
        }
    }
    bool changed = std::erase_if(m_leases, [&](const lease& held) { return held.ends <= now; }) > 0;
    for (lease& held : m_leases) {
        if (held.cold_until <= now) {
            changed = std::exchange(held.backend.cold, false) || changed;
        }
    }
    return changed;
}

std::vector<run_ending> announcement_registry::endings(base::time_point now) const
{
    std::vector<run_ending> all;
    for (const remembered_run& run : m_remembered) {
        const bool is_leased =
            std::any_of(m_leases.begin(), m_leases.end(),
                        [&](const lease& held) { return is_same_run(held.run(), run); });
        if (run.forget_at > now && !is_leased && (run.withdrawn || run.draining)) {
            all.push_back({run.instance, run.position, run.withdrawn});
        }
    }
    for (const lease& held : m_leases) {
        if (held.backend.draining && held.backend.instance != base::instance_id()) {
            all.push_back({held.backend.instance, held.drains_from, false});
        }
    }
    return all;
}

void announcement_registry::recover(const std::vector<run_ending>& endings, base::time_point now)
{
    for (const run_ending& ending : endings) {
        remembered_run run{.instance = ending.instance,
                           .position = ending.position,
                           .withdrawn = ending.withdrawn,
                           .draining = !ending.withdrawn};
        for (const remembered_run& known : m_remembered) {
            if (is_same_run(known, ending)) {
                run.position = std::max(run.position, known.position);
                run.withdrawn = run.withdrawn || known.withdrawn;
                run.draining = run.draining || known.draining;
            }
        }
        std::erase_if(m_leases, [&](const lease& held) {
            return run.withdrawn && is_same_run(held.run(), ending);
        });
        for (lease& held : m_leases) {
            if (is_same_run(held.run(), ending)) {
                held.drains_from = held.backend.draining ? held.drains_from : run.position;
                held.backend.draining = true;
                held.position = std::max(held.position, run.position);
            }
        }
        remember(std::move(run), now);
    }
}

void announcement_registry::remember(remembered_run run, base::time_point now)
{
    std::erase_if(m_remembered, [&](const remembered_run& known) {
        return known.forget_at <= now || is_same_run(known, run);
    });
    if (m_remembered.size() >= max_remembered_runs) {
        m_remembered.erase(m_remembered.begin());
    }
    run.forget_at = now + run_memory;
    m_remembered.push_back(std::move(run));
}

const remembered_run* announcement_registry::find_remembered(const announcement& request) const
{
    const auto found =
        std::find_if(m_remembered.begin(), m_remembered.end(),
                     [&](const remembered_run& run) { return is_same_run(run, request); });
    return found == m_remembered.end() || request.instance == base::instance_id() ? nullptr
                                                                                  : &*found;
}

std::vector<backend_server> announcement_registry::backends() const
{
    std::vector<backend_server> all;
    all.reserve(m_leases.size());
    for (auto& server : announced()) {
        all.push_back(std::move(server.backend));
    }
    return all;
}

std::vector<local_announcement> announcement_registry::announced() const
{
    std::vector<local_announcement> all;
    all.reserve(m_leases.size());
    for (const lease& held : m_leases) {
        all.push_back({held.backend, held.cold_until, held.announced_at});
    }
    std::sort(all.begin(), all.end(), [](const local_announcement& a, const local_announcement& b) {
        return std::pair(a.backend.service, a.backend.port) <
               std::pair(b.backend.service, b.backend.port);
    });
    return all;
}

announcement_registry::position announcement_registry::find(const base::service_id& service,
                                                            base::port_number port)
{
    return std::find_if(m_leases.begin(), m_leases.end(), [&](const lease& held) {
        return held.backend.service == service && held.backend.port == port;
    });
}

bool announcement_registry::is_outdated(const announcement& request) const
{
    if (request.instance == base::instance_id()) {
        return false;
    }
    const auto ended_before = [&](const remembered_run& run) {
        if (run.instance != request.instance) {
            return false;
        }
        const bool same_run = request.position.started_ms == run.position.started_ms;
        return run.withdrawn ? request.position.started_ms <= run.position.started_ms
                             : same_run && request.position < run.position;
    };
    return std::any_of(m_remembered.begin(), m_remembered.end(), ended_before) ||
           std::any_of(m_leases.begin(), m_leases.end(), [&](const lease& held) {
               const bool same = held.backend.instance == request.instance;
               return held.backend.port == request.port &&
                      (same ? request.position < held.position
                            : request.position.started_ms < held.position.started_ms);
           });
}

bool announcement_registry::permitted(const credential_text& credential,
                                      const base::service_id& service) const
{
    return m_options.may_announce && m_options.may_announce(credential, service);
}

bool announcement_registry::valid(const announcement& request) const
{
    const std::size_t length = request.service.value().size();
    return length > 0 && length <= m_options.limits.text_length &&
           request.port != base::port_number(0) && request.slots > base::slot_count(0) &&
           request.connections > connection_count(0);
}

} // namespace damaskladder::membership
