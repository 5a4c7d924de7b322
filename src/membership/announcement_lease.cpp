#include "membership/announcement_lease.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::membership {

namespace {

/// A message is not delayed for longer than this; later ones of an ended run are not expected.
constexpr base::duration ended_run_memory = std::chrono::minutes(2);

} // namespace

announcement_lease::announcement_lease(announcement_options options) : m_options(std::move(options))
{
}

announce_verdict announcement_lease::announce(const announcement& offer, base::time_point now)
{
    if (!valid(offer)) {
        return announce_verdict::invalid;
    }
    if (!permitted(offer.credential, offer.service)) {
        return announce_verdict::not_permitted;
    }
    expire(now);
    if (is_outdated(offer)) {
        return announce_verdict::outdated;
    }
    if (offer.instance != base::instance_id()) {
        std::erase_if(m_leases, [&](const lease& held) {
            return held.backend.port == offer.port && held.backend.instance != offer.instance;
        });
    }
    const position known = find(offer.service, offer.port);
    if (known == m_leases.end() && m_leases.size() >= m_options.limits.backends_per_node) {
        return announce_verdict::too_many;
    }
    const bool same_run =
        known != m_leases.end() && known->position.started_ms == offer.position.started_ms;
    const bool draining = offer.draining || (same_run && known->backend.draining);
    const lease renewed{{offer.service, offer.port, offer.slots, offer.connections, offer.cold,
                         draining, offer.instance},
                        now + m_options.lease,
                        offer.position};
    if (known != m_leases.end()) {
        *known = renewed;
    }
    else {
        m_leases.push_back(renewed);
    }
    return announce_verdict::accepted;
}

announce_verdict announcement_lease::withdraw(const announcement& offer, base::time_point now)
{
    if (offer.instance == base::instance_id()) {
        return withdraw(offer.service, offer.port, offer.credential);
    }
    const auto known = std::find_if(m_leases.begin(), m_leases.end(), [&](const lease& held) {
        return held.backend.instance == offer.instance;
    });
    if (known == m_leases.end()) {
        return announce_verdict::unknown;
    }
    if (!permitted(offer.credential, known->backend.service)) {
        return announce_verdict::not_permitted;
    }
    if (offer.position != run_position() && offer.position < known->position) {
        return announce_verdict::outdated;
    }
    std::erase_if(m_ended, [&](const ended_run& ended) { return ended.forget_at <= now; });
    m_ended.push_back({offer.instance, known->position, now + ended_run_memory});
    m_leases.erase(known);
    return announce_verdict::accepted;
}

announce_verdict announcement_lease::withdraw(const base::service_id& service,
                                              base::port_number port,
                                              const credential_text& credential)
{
    if (!permitted(credential, service)) {
        return announce_verdict::not_permitted;
    }
    const position known = find(service, port);
    if (known == m_leases.end()) {
        return announce_verdict::unknown;
    }
    m_leases.erase(known);
    return announce_verdict::accepted;
}

announce_verdict announcement_lease::drain(const base::service_id& service, base::port_number port,
                                           const credential_text& credential)
{
    if (!permitted(credential, service)) {
        return announce_verdict::not_permitted;
    }
    const position known = find(service, port);
    if (known == m_leases.end()) {
        return announce_verdict::unknown;
    }
    known->backend.draining = true;
    return announce_verdict::accepted;
}

void announcement_lease::drain_all()
{
    for (lease& held : m_leases) {
        held.backend.draining = true;
    }
}

bool announcement_lease::expire(base::time_point now)
{
    return std::erase_if(m_leases, [&](const lease& held) { return held.ends <= now; }) > 0;
}

std::vector<backend_server> announcement_lease::backends() const
{
    std::vector<backend_server> all;
    all.reserve(m_leases.size());
    for (const lease& held : m_leases) {
        all.push_back(held.backend);
    }
    std::sort(all.begin(), all.end(), [](const backend_server& a, const backend_server& b) {
        return std::pair(a.service, a.port) < std::pair(b.service, b.port);
    });
    return all;
}

announcement_lease::position announcement_lease::find(const base::service_id& service,
                                                      base::port_number port)
{
    return std::find_if(m_leases.begin(), m_leases.end(), [&](const lease& held) {
        return held.backend.service == service && held.backend.port == port;
    });
}

bool announcement_lease::is_outdated(const announcement& offer) const
{
    if (offer.instance == base::instance_id()) {
        return false;
    }
    const bool ended = std::any_of(m_ended.begin(), m_ended.end(), [&](const ended_run& run) {
        return run.instance == offer.instance &&
               offer.position.started_ms <= run.position.started_ms;
    });
    return ended || std::any_of(m_leases.begin(), m_leases.end(), [&](const lease& held) {
               const bool same = held.backend.instance == offer.instance;
               return held.backend.port == offer.port &&
                      (same ? offer.position < held.position
                            : offer.position.started_ms < held.position.started_ms);
           });
}

bool announcement_lease::permitted(const credential_text& credential,
                                   const base::service_id& service) const
{
    return m_options.may_announce && m_options.may_announce(credential, service);
}

bool announcement_lease::valid(const announcement& offer) const
{
    const std::size_t length = offer.service.value().size();
    return length > 0 && length <= m_options.limits.text_length &&
           offer.port != base::port_number(0) && offer.slots > base::slot_count(0) &&
           offer.connections > connection_count(0);
}

} // namespace damaskladder::membership
