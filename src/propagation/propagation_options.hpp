#pragma once

#include "base/failure_domain_id.hpp"
#include "base/time.hpp"
#include "propagation/peer.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::propagation {

/// Settings of all roles; the times meet the targets of the design page.
struct propagation_options {
    /// This process, and where it takes messages.
    peer self;
    base::failure_domain_id domain;

    base::duration poll_interval = std::chrono::milliseconds(500);
    /// Wait for an answer before another relay or source is asked.
    base::duration answer_timeout = std::chrono::milliseconds(400);
    /// Age reported by a relay beyond which another one is asked, because this one is cut off.
    base::duration max_relay_age = std::chrono::seconds(3);
    /// Changes are sent unasked to those who polled within this time.
    base::duration push_window = std::chrono::seconds(2);
    /// A node that did not poll for this long is left out of reports.
    base::duration report_window = std::chrono::seconds(3);
    base::duration report_interval = std::chrono::seconds(1);
    /// A source gives up a read confirmation after this time.
    base::duration read_timeout = std::chrono::seconds(1);
    /// Wait for a chunk before it is asked for again.
    base::duration chunk_timeout = std::chrono::milliseconds(300);
    /// A copy without progress for this long is given up.
    base::duration copy_timeout = std::chrono::seconds(2);
    /// A prepared copy is offered this long; differences lead on from it.
    base::duration copy_lifetime = std::chrono::seconds(10);

    /// Bounds. What exceeds one is dropped or replaced by a full copy.
    std::size_t chunk_bytes = 16'384;
    std::size_t max_chunks_per_copy = 1'024;
    std::size_t max_chunks_in_flight = 4;
    std::size_t max_differences = 1'024;
    std::size_t max_difference_log_bytes = 1'048'576;
    std::size_t max_difference_bytes_per_update = 32'768;
    std::size_t max_pollers = 4'096;
    std::size_t max_domains = 64;
    std::size_t max_reporters = 256;
};

} // namespace damaskladder::propagation
