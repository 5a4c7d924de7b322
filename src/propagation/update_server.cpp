#include "propagation/update_server.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::propagation {

namespace {

/// The previous copy is kept so that a transfer of it can still be completed.
constexpr std::size_t max_prepared_copies = 2;

} // namespace

update_server::update_server(const propagation_options& options,
                             std::function<settings_copy()> copy)
    : m_options(options),
      m_copy(std::move(copy)),
      m_log(options.max_differences, options.max_difference_log_bytes)
{
}

void update_server::version_applied(base::settings_version version,
                                    const std::optional<settings_difference>& difference)
{
    m_version = version;
    if (difference.has_value()) {
        m_log.add(*difference);
    }
    else {
        m_log.clear();
    }
    m_push_pending = true;
}

send update_server::answer(const base::node_id& from, const poll& body,
                           const std::optional<freshness>& fresh, base::time_point now)
{
    if (m_pollers.size() < m_options.max_pollers || m_pollers.count(from) > 0) {
        poller& entry = m_pollers[from];
        entry.address = body.reply_to;
        entry.version = body.applied_version;
        entry.last_poll = now;
    }
    update result;
    result.id = body.id;
    result.fresh = fresh;
    if (body.applied_version < m_version) {
        const auto differences =
            m_log.since(body.applied_version, m_options.max_difference_bytes_per_update);
        if (differences.has_value() && !body.copy_required) {
            result.differences = *differences;
        }
        else {
            result.copy = offer_copy(now);
        }
    }
    return {{from, body.reply_to}, std::move(result)};
}

void update_server::set_replicas(const replica_list& replicas)
{
    if (replicas.version > m_replicas.version) {
        m_replicas = replicas;
    }
}

std::optional<send> update_server::take_replica_list(const base::node_id& to, base::time_point now)
{
    const auto found = m_pollers.find(to);
    if (found == m_pollers.end() || m_replicas.replicas.empty()) {
        return std::nullopt;
    }
    auto& entry = found->second;
    const bool due = entry.sent_replicas != m_replicas.version ||
                     now - entry.replicas_sent_at >= m_options.replica_list_interval;
    if (!due) {
        return std::nullopt;
    }
    entry.sent_replicas = m_replicas.version;
    entry.replicas_sent_at = now;
    return send{{to, entry.address}, m_replicas};
}

std::optional<copy_offer> update_server::offer_copy(base::time_point now)
{
    const bool usable = !m_prepared_copies.empty() &&
                        continues_from(m_prepared_copies.back().copy.version) &&
                        now - m_prepared_copies.back().created < m_options.copy_lifetime;
    if (!usable) {
        m_prepared_copies.push_back({m_copy(), now});
        if (m_prepared_copies.size() > max_prepared_copies) {
            m_prepared_copies.pop_front();
        }
    }
    const settings_copy& copy = m_prepared_copies.back().copy;
    const std::uint32_t chunks = chunk_count(copy);
    if (chunks > m_options.max_chunks_per_copy) {
        return std::nullopt;
    }
    return copy_offer{copy.version, chunks};
}

bool update_server::continues_from(base::settings_version version) const
{
    return version == m_version || m_log.since(version, 0).has_value();
}

std::uint32_t update_server::chunk_count(const settings_copy& copy) const
{
    const std::size_t bytes = std::max<std::size_t>(1, copy.bytes.value().size());
    return static_cast<std::uint32_t>((bytes + m_options.chunk_bytes - 1) / m_options.chunk_bytes);
}

std::optional<send> update_server::answer(const base::node_id& from,
                                          const chunk_request& body) const
{
    for (const prepared_copy& entry : m_prepared_copies) {
        if (entry.copy.version == body.version && body.chunk < chunk_count(entry.copy)) {
            const std::size_t begin = body.chunk * m_options.chunk_bytes;
            return send{{from, body.reply_to},
                        copy_chunk{body.version, body.chunk,
                                   settings_bytes(entry.copy.bytes.value().substr(
                                       begin, m_options.chunk_bytes))}};
        }
    }
    return std::nullopt;
}

std::vector<send> update_server::take_pushes(base::time_point now)
{
    std::vector<send> pushes;
    if (!std::exchange(m_push_pending, false)) {
        return pushes;
    }
    std::erase_if(m_pollers, [&](const auto& item) {
        return now - item.second.last_poll > m_options.push_window;
    });
    for (auto& [node, entry] : m_pollers) {
        if (entry.version >= m_version) {
            continue;
        }
        const auto differences =
            m_log.since(entry.version, m_options.max_difference_bytes_per_update);
        if (differences.has_value()) {
            entry.version = differences->back().to;
            pushes.push_back({{node, entry.address}, update{poll_id(), {}, *differences, {}}});
        }
    }
    return pushes;
}

} // namespace damaskladder::propagation
