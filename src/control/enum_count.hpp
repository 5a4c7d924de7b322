#pragma once

#include "control/change_verdict.hpp"
#include "control/claim_state.hpp"
#include "control/claim_verdict.hpp"
#include "control/credential_role.hpp"
#include "control/proposal_state.hpp"
#include "settings/change_kind.hpp"
#include "settings/problem_kind.hpp"

#include <cstdint>

namespace damaskladder::control {

/// Number of values of a stored enumeration; decoding rejects larger values.
template <class Enum>
inline constexpr std::uint64_t enum_count = 0;

template <>
inline constexpr std::uint64_t enum_count<change_verdict> = change_verdict_count;
template <>
inline constexpr std::uint64_t enum_count<claim_verdict> = claim_verdict_count;
template <>
inline constexpr std::uint64_t enum_count<claim_state> = claim_state_count;
template <>
inline constexpr std::uint64_t enum_count<proposal_state> = proposal_state_count;
template <>
inline constexpr std::uint64_t
    enum_count<credential_role> = static_cast<std::uint64_t>(credential_role::reviewer) + 1;
template <>
inline constexpr std::uint64_t
    enum_count<settings::change_kind> = static_cast<std::uint64_t>(settings::change_kind::changed) +
                                        1;
template <>
inline constexpr std::uint64_t enum_count<settings::problem_kind> =
    static_cast<std::uint64_t>(settings::problem_kind::diff_mismatch) + 1;

} // namespace damaskladder::control
