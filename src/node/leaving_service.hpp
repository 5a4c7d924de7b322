#pragma once

#include "base/service_id.hpp"

namespace damaskladder::node {

/// How far the requests for a service leave the own failure domain, for metrics and log lines.
struct leaving_service {
    base::service_id service;
    /// Part of the requests that leaves, from 0 to 1.
    double part = 0;
    /// Factors by which load prolongs a call in the own domain and in the others.
    double own_slowdown = 1;
    double others_slowdown = 1;
};

} // namespace damaskladder::node
