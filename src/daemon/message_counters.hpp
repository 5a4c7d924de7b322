#pragma once

#include "wire/message_kind.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace damaskladder::daemon {

/// Numbers and bytes of the sealed messages that a process has sent to others, by kind, and how
/// many of them were dropped before they left. Counted on the control thread and read by any
/// thread.
class message_counters {
public:
    void count(wire::message_kind kind, std::size_t bytes);
    /// Counts a message as dropped; it has been counted as sent.
    void count_dropped(wire::message_kind kind);

    /// The counters damaskladder_messages_sent_total, damaskladder_message_bytes_sent_total and
    /// damaskladder_messages_dropped_total, in the text format of the metrics page, for the kinds
    /// that were sent.
    std::string metrics() const;
    /// One line, "membership 12/3400, quota 5/900 2 dropped, ...", with messages and bytes.
    std::string summary() const;

private:
    struct counter {
        std::atomic<std::uint64_t> messages = 0;
        std::atomic<std::uint64_t> bytes = 0;
        std::atomic<std::uint64_t> dropped = 0;
    };

    /// By the number of the kind.
    static constexpr std::size_t kind_count = 11;
    std::array<counter, kind_count> m_counters;
};

} // namespace damaskladder::daemon
