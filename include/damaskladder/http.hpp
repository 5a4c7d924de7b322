#pragma once

/// \file
/// http: single-threaded HTTP/1.1 client and server.
///
///     http::event_loop loop;
///     http::client out(loop);
///     http::server in(loop, {}, [&](std::shared_ptr<http::exchange> request) {
///         request->respond({.status = 200}, "hello\n");
///     });
///     in.listen({"127.0.0.1", 8080}).value();
///     loop.run();
///
/// Everything except event_loop::post() and event_loop::stop() may be used only on the loop's
/// thread. Bodies stream in both directions through bounded buffers (server_limits). A request is
/// sent at most once, even if a reused connection closes during it. A caller that disconnects is
/// detected while its request is pending. An aborted response is reported as a failed transfer, and
/// a connection on which unsolicited bytes arrive is closed.

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
