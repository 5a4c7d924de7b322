#pragma once

#include "base/importance.hpp"
#include "claims/claim_status.hpp"
#include "consensus/member_role.hpp"
#include "lease/lease_verdict.hpp"
#include "membership/load_level.hpp"
#include "membership/member_status.hpp"
#include "membership/observer_verdict.hpp"
#include "membership/reachability.hpp"
#include "settings/change_kind.hpp"
#include "wire/context_purpose.hpp"
#include "wire/message_kind.hpp"

namespace damaskladder::wire {

template <auto Last>
struct last_enumerator {
    static constexpr auto last = Last;
};

/// Largest enumerator of each enumeration that is sent between processes. Values above it, which a
/// newer program version may send, are rejected instead of misinterpreted. Specialised for each
/// enumeration.
template <class Enum>
struct enum_limit;

template <>
struct enum_limit<base::importance> : last_enumerator<base::importance::critical> {
};
template <>
struct enum_limit<consensus::member_role> : last_enumerator<consensus::member_role::voter> {
};
template <>
struct enum_limit<membership::load_level> : last_enumerator<membership::load_level::full> {
};
template <>
struct enum_limit<membership::member_status> : last_enumerator<membership::member_status::left> {
};
template <>
struct enum_limit<membership::reachability>
    : last_enumerator<membership::reachability::unreachable> {
};
template <>
struct enum_limit<membership::observer_verdict>
    : last_enumerator<membership::observer_verdict::suspects> {
};
template <>
struct enum_limit<lease::lease_verdict> : last_enumerator<lease::lease_verdict::stale_epoch> {
};
template <>
struct enum_limit<claims::claim_status> : last_enumerator<claims::claim_status::conflict> {
};
template <>
struct enum_limit<settings::change_kind> : last_enumerator<settings::change_kind::changed> {
};
template <>
struct enum_limit<context_purpose> : last_enumerator<context_purpose::backend_server> {
};
template <>
struct enum_limit<message_kind> : last_enumerator<message_kind::replica_requests> {
};

} // namespace damaskladder::wire
