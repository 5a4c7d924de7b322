#include "daemon/message_counters.hpp"

#include <string_view>

namespace damaskladder::daemon {

namespace {

/// By the number of the kind; kinds start at 1.
constexpr std::string_view kind_names[] = {
    "",       "consensus",      "membership",     "propagation",     "lease",           "quota",
    "claims", "holder_notices", "claim_commands", "claim_responses", "replica_requests"};

} // namespace

void message_counters::count(wire::message_kind kind, std::size_t bytes)
{
    const auto index = static_cast<std::size_t>(kind);
    if (index < m_counters.size()) {
        m_counters[index].messages += 1;
        m_counters[index].bytes += bytes;
    }
}

void message_counters::count_dropped(wire::message_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    if (index < m_counters.size()) {
        m_counters[index].dropped += 1;
    }
}

std::string message_counters::metrics() const
{
    std::string messages = "# TYPE damaskladder_messages_sent_total counter\n";
    std::string bytes = "# TYPE damaskladder_message_bytes_sent_total counter\n";
    std::string dropped = "# TYPE damaskladder_messages_dropped_total counter\n";
    for (std::size_t i = 0; i < m_counters.size(); ++i) {
        const auto count = m_counters[i].messages.load();
        if (count == 0) {
            continue;
        }
        const auto label = "{kind=\"" + std::string(kind_names[i]) + "\"} ";
        messages += "damaskladder_messages_sent_total" + label + std::to_string(count) + "\n";
        bytes += "damaskladder_message_bytes_sent_total" + label +
                 std::to_string(m_counters[i].bytes) + "\n";
        dropped += "damaskladder_messages_dropped_total" + label +
                   std::to_string(m_counters[i].dropped) + "\n";
    }
    return messages + bytes + dropped;
}

std::string message_counters::summary() const
{
    std::string text;
    for (std::size_t i = 0; i < m_counters.size(); ++i) {
        const auto messages = m_counters[i].messages.load();
        if (messages == 0) {
            continue;
        }
        text += text.empty() ? "" : ", ";
        text += std::string(kind_names[i]) + " " + std::to_string(messages) + "/" +
                std::to_string(m_counters[i].bytes);
        if (const auto dropped = m_counters[i].dropped.load()) {
            text += " " + std::to_string(dropped) + " dropped";
        }
    }
    return text;
}

} // namespace damaskladder::daemon
