#pragma once

/// \file
/// bus: messaging between the processes of the system.
///
///     bus::message_bus messages(loop, {}, [](std::string message) { ... });
///     BOOST_LEAF_CHECK(messages.listen("10.0.0.4:7000"));
///     messages.send("10.0.0.5:7000", bytes);
///
/// A message arrives completely or not at all, and may be lost. Messages to one peer arrive in
/// order as long as the connection lasts. Sending never blocks: messages beyond the limit of a
/// peer's queue are dropped (bus_limits). A connection whose peer stops responding is reopened
/// within about a second.

#include "bus/bus_limits.hpp"
#include "bus/message_bus.hpp"
