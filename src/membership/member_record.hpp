#pragma once

#include "base/failure_domain_id.hpp"
#include "base/incarnation.hpp"
#include "base/message_address.hpp"
#include "base/node_id.hpp"
#include "base/traffic_address.hpp"
#include "membership/backend_server.hpp"
#include "membership/load_level.hpp"
#include "membership/member_status.hpp"
#include "membership/record_version.hpp"
#include "membership/run_ending.hpp"
#include "membership/table_digest.hpp"

#include <vector>

namespace damaskladder::membership {

/// State of one node as known to the fleet. Alive records are published only by the node itself.
struct member_record {
    base::node_id node;
    base::failure_domain_id domain;
    base::incarnation incarnation;
    record_version version;
    member_status status = member_status::alive;
    base::message_address messages;
    base::traffic_address traffic;
    load_level load = load_level::normal;
    /// Empty in a tombstone.
    std::vector<backend_server> backends;
    /// Failure domain of the node's VM if `domain` stands for a group of failure domains; otherwise
    /// empty.
    base::failure_domain_id vm_domain = {};
    /// Kept in a tombstone.
    std::vector<run_ending> run_endings = {};

    /// Failure domain of the node's VM.
    const base::failure_domain_id& location() const
    {
        return vm_domain == base::failure_domain_id() ? domain : vm_domain;
    }

    friend bool operator==(const member_record&, const member_record&) = default;
};

/// True if candidate is newer than current. A larger incarnation is newer. Within an incarnation,
/// left is newer than dead and dead newer than alive, so that a delayed message cannot mark a dead
/// node as alive. Among alive records, the larger version is newer.
bool supersedes(const member_record& candidate, const member_record& current);

/// The record's contribution to a table digest.
table_digest digest_of(const member_record& record);

/// Copy of the record with the given status (dead or left) and without backend servers.
member_record tombstone_of(const member_record& record, member_status status);

/// True if the two records differ for callers of the node's services. A change of the load level
/// alone is not such a difference.
bool differs_for_callers(const member_record& a, const member_record& b);

} // namespace damaskladder::membership
