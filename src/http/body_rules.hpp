#pragma once

namespace damaskladder::http {

/// Statuses below this one announce a final answer to come.
inline constexpr int first_final_status = 200;
inline constexpr int no_content_status = 204;
inline constexpr int not_modified_status = 304;

/// Whether an answer of this status has a body, if its request was not HEAD.
constexpr bool has_body(int status)
{
    return status >= first_final_status && status != no_content_status &&
           status != not_modified_status;
}

} // namespace damaskladder::http
