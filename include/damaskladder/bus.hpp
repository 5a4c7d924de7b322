#pragma once

/// \file
/// bus: messages between the processes of the system.
///
///     bus::message_bus messages(loop, {}, [](std::string message) { ... });
///     BOOST_LEAF_CHECK(messages.listen("10.0.0.4:7000"));
///     messages.send("10.0.0.5:7000", bytes);
///
/// A message arrives whole or not at all, and may be lost; messages to one peer arrive in their
/// order as long as their connection lasts. Nothing waits: what a peer does not take is dropped at
/// a bound (bus_limits). A connection that goes silent is made anew within about a second.

#include "bus/bus_limits.hpp"
#include "bus/message_bus.hpp"
