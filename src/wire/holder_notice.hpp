#pragma once

#include "base/failure_domain_id.hpp"
#include "base/message_address.hpp"
#include "quota/holder_id.hpp"

namespace damaskladder::wire {

/// Message: announces the current lease holder of a failure domain. Sent twice a second by the
/// holder to the nodes of its failure domain and to the lease voters of the other failure domains,
/// which forward it to their own holder.
struct holder_notice {
    base::failure_domain_id domain;
    quota::holder_id holder;
    base::message_address messages;
};

} // namespace damaskladder::wire
