#pragma once

/// \file
/// platform: the front of a process on the platform of Fomento Exportador Municipal de Zapopan.
///
///     daemon::run_process(settings, [](const auto& s, const auto& secret) {
///         return platform::make_dialect(s, secret);
///     });
///
/// The library translates the platform's calls, header fields and documents into the types of the
/// other libraries and back. It decides nothing, and no other library knows the platform's names.
/// docs/platform.md lists each call and field with the type that it becomes.
///
/// Errors: input that cannot be read becomes a malformed call with a text that says what was
/// expected and never repeats a key. Nothing throws.

#include "platform/dialect_maker.hpp"
