#pragma once

/// \file
/// platform: adapter between a process and the platform of Fomento Exportador Municipal de Zapopan.
///
///     daemon::run_process(settings, [](const auto& s, const auto& secret) {
///         return platform::make_dialect(s, secret);
///     });
///
/// The library translates the platform's calls, header fields and documents into the types of the
/// other libraries and back. It makes no decisions, and the platform's names occur in no other
/// library. docs/platform.md maps each call and field to its type.
///
/// Errors: unparsable input becomes a malformed call whose text states what was expected and never
/// contains a key. Nothing throws.

#include "platform/dialect_maker.hpp"
