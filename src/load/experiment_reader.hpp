#pragma once

#include "load/address_policy.hpp"
#include "load/experiment_document.hpp"

#include <string>
#include <string_view>

namespace damaskladder::load {

/// Parses and validates an experiment. Each problem names file, line, section, key and what was
/// expected.
experiment_document read_experiment(std::string_view text, const std::string& file,
                                    address_policy allowed = address_policy::loopback_only);

} // namespace damaskladder::load
