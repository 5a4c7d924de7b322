#pragma once

#include "wire/message_kind.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace damaskladder::daemon {

/// Numbers and bytes of the sealed messages that a process has sent to others, by kind. Counted on
/// the control thread and read by any thread.
class message_counters {
public:
    void count(wire::message_kind kind, std::size_t bytes);

    /// The counters damaskladder_messages_sent_total and damaskladder_message_bytes_sent_total, in
    /// the text format of the metrics page, for the kinds that were sent.
    std::string metrics() const;
    /// One line, "membership 12/3400, ...", with messages and bytes.
    std::string summary() const;

private:
    struct counter {
        std::atomic<std::uint64_t> messages = 0;
        std::atomic<std::uint64_t> bytes = 0;
    };

    /// By the number of the kind.
    static constexpr std::size_t kind_count = 11;
    std::array<counter, kind_count> m_counters;
};

} // namespace damaskladder::daemon
