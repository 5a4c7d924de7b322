#pragma once

#include "base/service_id.hpp"
#include "base/share_weight.hpp"

namespace damaskladder::settings {

/// One service of a split route, with its weight in the distribution of requests.
struct split_part {
    base::service_id service;
    base::share_weight weight;

    friend bool operator==(const split_part&, const split_part&) = default;
};

} // namespace damaskladder::settings
