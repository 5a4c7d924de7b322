#include "propagation/copy_transfer.hpp"

#include <string>
#include <utility>

namespace damaskladder::propagation {

copy_transfer::copy_transfer(peer source, copy_offer offer, const propagation_options& options,
                             base::time_point now)
    : m_source(std::move(source)),
      m_offer(offer),
      m_chunk_bytes(options.chunk_bytes),
      m_max_in_flight(options.max_chunks_in_flight),
      m_chunk_timeout(options.chunk_timeout),
      m_copy_timeout(options.copy_timeout),
      m_last_progress(now)
{
}

std::vector<std::uint32_t> copy_transfer::chunks_to_request(base::time_point now)
{
    std::vector<std::uint32_t> chunks;
    for (auto& [chunk, requested_at] : m_requested) {
        if (now - requested_at >= m_chunk_timeout) {
            requested_at = now;
            chunks.push_back(chunk);
        }
    }
    for (std::uint32_t chunk = 0; chunk < m_offer.chunks && m_requested.size() < m_max_in_flight;
         ++chunk) {
        if (m_chunks.count(chunk) == 0 && m_requested.emplace(chunk, now).second) {
            chunks.push_back(chunk);
        }
    }
    return chunks;
}

void copy_transfer::add(const copy_chunk& chunk, base::time_point now)
{
    const bool fits = chunk.version == m_offer.version && chunk.chunk < m_offer.chunks &&
                      chunk.bytes.value().size() <= m_chunk_bytes;
    if (!fits || !m_chunks.emplace(chunk.chunk, chunk.bytes).second) {
        return;
    }
    m_requested.erase(chunk.chunk);
    m_last_progress = now;
}

bool copy_transfer::timed_out(base::time_point now) const
{
    return now - m_last_progress >= m_copy_timeout;
}

std::optional<settings_copy> copy_transfer::complete() const
{
    if (m_chunks.size() < m_offer.chunks) {
        return std::nullopt;
    }
    std::string bytes;
    for (const auto& item : m_chunks) {
        bytes += item.second.value();
    }
    return settings_copy{m_offer.version, settings_bytes(std::move(bytes))};
}

} // namespace damaskladder::propagation
