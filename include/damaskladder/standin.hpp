#pragma once

/// \file
/// standin: a backend server for tests and experiments.
///
///     http::event_loop loop;
///     standin::stand_in server(loop, {.service = base::service_id("eligibility")});
///     server.start().value();
///     loop.run();
///
/// It counts runs by request id, so that a test can verify them independently of the system under
/// test. See stand_in for the control requests that slow it down or drain it, and standin_options
/// for fault injection.

#include "standin/stand_in.hpp"
#include "standin/standin_options.hpp"
