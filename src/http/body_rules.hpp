#pragma once

namespace damaskladder::http {

/// Statuses below this one are interim; a final response follows.
inline constexpr int first_final_status = 200;
inline constexpr int no_content_status = 204;
inline constexpr int not_modified_status = 304;

/// Whether a response with this status has a body, provided that the request was not HEAD.
constexpr bool has_body(int status)
{
    return status >= first_final_status && status != no_content_status &&
           status != not_modified_status;
}

} // namespace damaskladder::http
