#include "daemon/body_budget.hpp"

namespace damaskladder::daemon {

bool body_budget::grow(const http::exchange* request, std::size_t size)
{
    std::size_t& held = m_sizes[request];
    m_total = m_total - held + size;
    held = size;
    if (m_total <= static_cast<std::size_t>(m_limit.value())) {
        return true;
    }
    release(request);
    return false;
}

void body_budget::release(const http::exchange* request)
{
    const auto found = m_sizes.find(request);
    if (found != m_sizes.end()) {
        m_total -= found->second;
        m_sizes.erase(found);
    }
}

} // namespace damaskladder::daemon
