#pragma once

#include "base/failure_domain_id.hpp"
#include "base/time.hpp"
#include "propagation/peer.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::propagation {

/// Options of nodes, relays and sources. The times meet the targets of the design page.
struct propagation_options {
    /// This process and its message address.
    peer self;
    base::failure_domain_id domain;

    base::duration poll_interval = std::chrono::milliseconds(500);
    /// Time to wait for an answer before failing over to another relay or source.
    base::duration answer_timeout = std::chrono::milliseconds(400);
    /// A relay that reports a greater age counts as cut off, and the node fails over to another. A
    /// current relay two steps from the leader reports up to 1.1 s. Leaving takes two polls, which
    /// must end before the shortest max_staleness in use, 3 s.
    base::duration max_relay_age = std::chrono::milliseconds(1500);
    /// Above this age of the applied settings, a poll that is not answered within hedge_delay, or
    /// by a relay that is out of date, is sent to all other upstreams too. A node that polls a
    /// current relay two steps from the leader reaches an age of 1.6 s between polls.
    base::duration hedge_above_age = std::chrono::milliseconds(1750);
    /// Time after which a node that polls another upstream tries a preferred one again.
    base::duration preferred_retry_after = std::chrono::seconds(5);
    /// Longer than a round trip between regions.
    base::duration hedge_delay = std::chrono::milliseconds(100);
    /// Changes are pushed to the nodes that polled within this time.
    base::duration push_window = std::chrono::seconds(2);
    /// Nodes that have not polled within this time are left out of reports.
    base::duration report_window = std::chrono::seconds(3);
    base::duration report_interval = std::chrono::seconds(1);
    /// Time after which a source abandons a read confirmation.
    base::duration read_timeout = std::chrono::seconds(1);
    /// Time after which a chunk is requested again.
    base::duration chunk_timeout = std::chrono::milliseconds(300);
    /// A transfer without progress for this long is abandoned.
    base::duration copy_timeout = std::chrono::seconds(2);
    /// Time for which a prepared copy is offered. Differences bring its receivers up to date.
    base::duration copy_lifetime = std::chrono::seconds(10);
    /// The list of control replicas is sent to a poller when it changes, and again after this time
    /// in case it was lost.
    base::duration replica_list_interval = std::chrono::seconds(10);

    /// Limits. Data beyond a limit is dropped or replaced by a full copy.
    std::size_t chunk_bytes = 16'384;
    std::size_t max_chunks_per_copy = 1'024;
    std::size_t max_chunks_in_flight = 4;
    std::size_t max_differences = 1'024;
    std::size_t max_difference_log_bytes = 1'048'576;
    std::size_t max_difference_bytes_per_update = 32'768;
    std::size_t max_pollers = 4'096;
    std::size_t max_domains = 64;
    std::size_t max_reporters = 256;
    /// As many as consensus::replica_options::max_members.
    std::size_t max_replicas = 31;
};

} // namespace damaskladder::propagation
