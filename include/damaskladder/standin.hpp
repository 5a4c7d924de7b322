#pragma once

/// \file
/// standin: a backend server for tests and experiments.
///
///     http::event_loop loop;
///     standin::stand_in server(loop, {.service = base::service_id("eligibility")});
///     server.start().value();
///     loop.run();
///
/// It counts runs by request id on its own, so that a test need not believe the system under test.
/// See stand_in for the commands that make it slow, drain or misbehave.

#include "standin/stand_in.hpp"
#include "standin/standin_options.hpp"
