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

std::optional<event> persistence_queue::flush()
{
    m_full_cause.reset();
    return base::handle_failure(
        [&]() -> base::result<std::optional<event>> {
            BOOST_LEAF_AUTO(token, write_all());
            return std::optional<event>(sync_completed{token});
        },
        [&](const base::failure& cause) -> std::optional<event> {
            if (cause.kind == base::failure_kind::no_space) {
                m_full_cause = cause;
                return std::nullopt;
            }
            m_pending.clear();
            m_unsynced.reset();
            return event(storage_failed{cause});
        });
}

base::result<persist_token> persistence_queue::write_all()
{
    while (!m_pending.empty()) {
        const write& next = m_pending.front();
        if (const auto* votes = std::get_if<persist_vote>(&next)) {
            BOOST_LEAF_CHECK(m_storage.write_vote(*votes));
        }
        else if (const auto* entries = std::get_if<persist_entries>(&next)) {
            BOOST_LEAF_CHECK(m_storage.write_entries(*entries));
        }
        else {
            BOOST_LEAF_CHECK(m_storage.write_snapshot(std::get<persist_snapshot>(next)));
        }
        m_unsynced = std::visit([](const auto& written) { return written.token; }, next);
        m_pending.pop_front();
    }
    BOOST_LEAF_CHECK(m_storage.sync());
    return *std::exchange(m_unsynced, std::nullopt);
}

} // namespace damaskladder::consensus
