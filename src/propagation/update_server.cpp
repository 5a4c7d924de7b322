#include "propagation/update_server.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::propagation {

namespace {

/// A transfer that began with the earlier copy can still be finished.
constexpr std::size_t copies_held = 2;

} // namespace

update_server::update_server(const propagation_options& options,
                             std::function<settings_copy()> copy)
    : m_options(options),
      m_copy(std::move(copy)),
      m_log(options.differences_kept, options.bytes_of_differences_kept)
{
}

void update_server::changed(base::settings_version version,
                            const std::optional<settings_difference>& difference)
{
    m_version = version;
    if (difference.has_value()) {
        m_log.add(*difference);
    }
    else {
        m_log.clear();
    }
    m_push_due = true;
}

send update_server::answer(const base::node_id& from, const poll& body,
                           const std::optional<freshness>& fresh, base::time_point now)
{
    if (m_pollers.size() < m_options.pollers || m_pollers.count(from) > 0) {
        m_pollers[from] = {body.reply_to, body.in_force, now};
    }
    update result;
    result.id = body.id;
    result.fresh = fresh;
    if (body.in_force < m_version) {
        const auto differences =
            m_log.since(body.in_force, m_options.bytes_of_differences_per_update);
        if (differences.has_value() && !body.wants_copy) {
            result.differences = *differences;
        }
        else {
            result.copy = offer_copy(now);
        }
    }
    return {{from, body.reply_to}, std::move(result)};
}

std::optional<copy_offer> update_server::offer_copy(base::time_point now)
{
    const bool usable = !m_prepared.empty() && leads_on(m_prepared.back().copy.version) &&
                        now - m_prepared.back().made < m_options.copy_lifetime;
    if (!usable) {
        m_prepared.push_back({m_copy(), now});
        if (m_prepared.size() > copies_held) {
            m_prepared.pop_front();
        }
    }
    const settings_copy& copy = m_prepared.back().copy;
    const std::uint32_t chunks = chunks_of(copy);
    if (chunks > m_options.chunks_per_copy) {
        return std::nullopt;
    }
    return copy_offer{copy.version, chunks};
}

bool update_server::leads_on(base::settings_version version) const
{
    return version == m_version || m_log.since(version, 0).has_value();
}

std::uint32_t update_server::chunks_of(const settings_copy& copy) const
{
    const std::size_t bytes = std::max<std::size_t>(1, copy.bytes.value().size());
    return static_cast<std::uint32_t>((bytes + m_options.chunk_bytes - 1) / m_options.chunk_bytes);
}

std::optional<send> update_server::answer(const base::node_id& from,
                                          const chunk_request& body) const
{
    for (const prepared_copy& held : m_prepared) {
        if (held.copy.version == body.version && body.chunk < chunks_of(held.copy)) {
            const std::size_t begin = body.chunk * m_options.chunk_bytes;
            return send{{from, body.reply_to},
                        copy_chunk{body.version, body.chunk,
                                   settings_bytes(held.copy.bytes.value().substr(
                                       begin, m_options.chunk_bytes))}};
        }
    }
    return std::nullopt;
}

std::vector<send> update_server::take_pushes(base::time_point now)
{
    std::vector<send> pushes;
    if (!std::exchange(m_push_due, false)) {
        return pushes;
    }
    std::erase_if(m_pollers,
                  [&](const auto& item) { return now - item.second.at > m_options.push_window; });
    for (auto& [node, held] : m_pollers) {
        if (held.version >= m_version) {
            continue;
        }
        const auto differences =
            m_log.since(held.version, m_options.bytes_of_differences_per_update);
        if (differences.has_value()) {
            held.version = differences->back().to;
            pushes.push_back({{node, held.address}, update{poll_id(), {}, *differences, {}}});
        }
    }
    return pushes;
}

} // namespace damaskladder::propagation
