#include "consensus/persistence_queue.hpp"

#include <utility>

namespace damaskladder::consensus {

bool persistence_queue::add(effect& next)
{
    if (auto* votes = std::get_if<persist_vote>(&next)) {
        m_pending.emplace_back(std::move(*votes));
    }
    else if (auto* entries = std::get_if<persist_entries>(&next)) {
        m_pending.emplace_back(std::move(*entries));
    }
    else if (auto* content = std::get_if<persist_snapshot>(&next)) {
        m_pending.emplace_back(std::move(*content));
    }
    else {
        return false;
    }
    return true;
}

event persistence_queue::flush()
{
    return base::handle_failure(
        [&]() -> base::result<event> {
            BOOST_LEAF_AUTO(token, write_all());
            return event(sync_completed{token});
        },
        [](const base::failure& cause) { return event(storage_failed{cause}); });
}

base::result<persist_token> persistence_queue::write_all()
{
    persist_token token;
    for (const write& each : std::exchange(m_pending, {})) {
        if (const auto* votes = std::get_if<persist_vote>(&each)) {
            BOOST_LEAF_CHECK(m_storage.write_vote(*votes));
        }
        else if (const auto* entries = std::get_if<persist_entries>(&each)) {
            BOOST_LEAF_CHECK(m_storage.write_entries(*entries));
        }
        else {
            BOOST_LEAF_CHECK(m_storage.write_snapshot(std::get<persist_snapshot>(each)));
        }
        token = std::visit([](const auto& written) { return written.token; }, each);
    }
    BOOST_LEAF_CHECK(m_storage.sync());
    return token;
}

} // namespace damaskladder::consensus
