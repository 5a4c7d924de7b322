#include "membership/pending_confirmations.hpp"

#include <utility>

namespace damaskladder::membership {

void pending_confirmations::add(endings_number list, done answer, base::time_point now)
{
    m_waiting.push_back({list, std::move(answer), now + m_time_limit});
}

void pending_confirmations::resolve(endings_number confirmed, base::time_point now)
{
    if (m_waiting.empty()) {
        return;
    }
    // Answers may add others.
    for (waiting& each : std::exchange(m_waiting, {})) {
        if (each.list <= confirmed) {
            each.answer(announce_verdict::accepted);
        }
        else if (now >= each.deadline) {
            each.answer(announce_verdict::unconfirmed);
        }
        else {
            m_waiting.push_back(std::move(each));
        }
    }
}

} // namespace damaskladder::membership
