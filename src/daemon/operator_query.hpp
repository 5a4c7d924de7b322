#pragma once

#include "base/operator_id.hpp"
#include "base/result.hpp"
#include "control/control_replica.hpp"

#include <string>
#include <string_view>

namespace damaskladder::daemon {

/// Answers a query of the operator API from the state of a replica.
///
///     /v1/export?path=P            INI text
///     /v1/list?path=P              paths, one per line
///     /v1/evacuations?path=fleet/evacuations   evacuated failure domains, one per line
///     /v1/version?path=P           version that a change of the path must be based on
///     /v1/diff?path=P&from=V&to=V  one change per line
///     /v1/history?path=P           accepted changes, newest first, as JSON lines
///     /v1/pending?path=P           proposals as JSON lines
///     /v1/answer?change=ID         result of a change, as JSON
///     /v1/audit?path=P&who=N&after=SEQUENCE   audit records as JSON lines
///     /v1/audit-head               sequence and hash of the newest audit record
///     /v1/status                   JSON, with the members as in member_list.hpp
///
/// Fails with not_found, permission_denied or invalid_argument.
base::result<std::string> answer_query(std::string_view target, const base::operator_id& who,
                                       const control::control_replica& replica,
                                       base::time_point now);

} // namespace damaskladder::daemon
