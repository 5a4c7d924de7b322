#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "quota/holder_id.hpp"
#include "quota/lend.hpp"
#include "quota/quota_send.hpp"

#include <map>
#include <utility>

namespace damaskladder::quota {

/// Collects the messages that a holder sends for one event, with one lend message per node.
class holder_effects {
public:
    explicit holder_effects(holder_id self) : m_self(std::move(self)) {}

    void send(const base::node_id& node, quota_message message)
    {
        m_sends.push_back({node, std::move(message)});
    }

    void send_line(const base::node_id& node, base::incarnation incarnation, lend_line line)
    {
        auto& message = m_lends[node];
        message.holder = m_self;
        message.incarnation = incarnation;
        message.lines.push_back(std::move(line));
    }

    quota_sends take()
    {
        for (auto& [node, message] : m_lends) {
            m_sends.push_back({node, std::move(message)});
        }
        return std::move(m_sends);
    }

private:
    holder_id m_self;
    quota_sends m_sends;
    std::map<base::node_id, lend> m_lends;
};

} // namespace damaskladder::quota
