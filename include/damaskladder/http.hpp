#pragma once

/// \file
/// http: serving and sending HTTP/1.1 requests on one thread.
///
///     http::event_loop loop;
///     http::client out(loop);
///     http::server in(loop, {}, [&](std::shared_ptr<http::exchange> request) {
///         request->respond({.status = 200}, "hello\n");
///     });
///     in.listen({"127.0.0.1", 8080}).value();
///     loop.run();
///
/// Everything but event_loop::post() and event_loop::stop() belongs to the loop's thread. Bodies
/// stream both ways through bounded buffers (server_limits). A request is sent at most once, also
/// when a kept connection closes on it. A caller that leaves is noticed while its request waits. A
/// broken answer ends as a visibly broken transfer, and bytes that no request asked for end their
/// connection.

#include "http/address.hpp"
#include "http/client.hpp"
#include "http/client_request.hpp"
#include "http/event_loop.hpp"
#include "http/exchange.hpp"
#include "http/header_list.hpp"
#include "http/request_head.hpp"
#include "http/response_head.hpp"
#include "http/server.hpp"
#include "http/server_limits.hpp"
#include "http/transfer.hpp"
#include "http/transfer_result.hpp"
