#include "consensus/replica.hpp"

#include "consensus/replica_core.hpp"

#include <utility>

namespace damaskladder::consensus {

replica::replica(replica_options options, recovered_state state, base::random_source random)
    : m_core(
          std::make_unique<replica_core>(std::move(options), std::move(state), std::move(random)))
{
}

replica::~replica() = default;
replica::replica(replica&&) noexcept = default;
replica& replica::operator=(replica&&) noexcept = default;

std::vector<effect> replica::start(base::time_point now)
{
    return m_core->start(now);
}

std::vector<effect> replica::handle(event happened, base::time_point now)
{
    return m_core->handle(std::move(happened), now);
}

replica_status replica::status() const
{
    return m_core->status();
}

} // namespace damaskladder::consensus
