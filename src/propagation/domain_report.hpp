#pragma once

#include "base/failure_domain_id.hpp"
#include "base/settings_version.hpp"

#include <cstdint>

namespace damaskladder::propagation {

/// Range of applied versions among the nodes of a failure domain that polled recently.
struct domain_report {
    base::failure_domain_id domain;
    std::uint32_t nodes = 0;
    base::settings_version newest;
    base::settings_version oldest;

    friend bool operator==(const domain_report&, const domain_report&) = default;
};

} // namespace damaskladder::propagation
