#include "load/arrival_schedule.hpp"

#include "load/planned_requests.hpp"

#include <memory>
#include <random>

namespace damaskladder::load {

namespace {

base::random_source make_stream_generator(std::uint64_t seed, const stream_name& name)
{
    constexpr unsigned word_bits = 32;
    std::vector<std::uint32_t> parts = {static_cast<std::uint32_t>(seed),
                                        static_cast<std::uint32_t>(seed >> word_bits)};
    parts.insert(parts.end(), name.value().begin(), name.value().end());
    std::seed_seq sequence(parts.begin(), parts.end());
    return [generator = std::make_shared<std::mt19937_64>(sequence)] { return (*generator)(); };
}

} // namespace

arrival_schedule::arrival_schedule(const experiment& plan)
{
    for (const auto& stream : plan.streams) {
        arrival_process process(stream.rate, surges_of_stream(plan, stream.name), plan.duration,
                                make_stream_generator(plan.seed, stream.name));
        const auto first = process.next();
        m_streams.push_back({std::move(process), first});
    }
    find_next();
}

std::optional<arrival> arrival_schedule::take()
{
    const auto taken = m_next;
    if (taken) {
        auto& stream = m_streams[taken->stream.value()];
        stream.next = stream.process.next();
        find_next();
    }
    return taken;
}

void arrival_schedule::find_next()
{
    m_next.reset();
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
        const auto& candidate = m_streams[i].next;
        if (candidate && (!m_next || *candidate < m_next->due)) {
            m_next = arrival{*candidate, stream_index(i)};
        }
    }
}

} // namespace damaskladder::load
