#pragma once

#include "retry/kept_answer.hpp"

namespace damaskladder::node {

using retry::kept_answer;

} // namespace damaskladder::node
