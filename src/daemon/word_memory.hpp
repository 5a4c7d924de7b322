#pragma once

#include "base/settings_version.hpp"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace damaskladder::daemon {

/// Words of header fields that are no keys in the settings in force. Most requests carry the same
/// words, and comparing a word is several times cheaper than hashing it. Not thread-safe.
class word_memory {
public:
    /// Forgets all words if the version is not that of the last call.
    void use_settings(base::settings_version version);

    bool contains(std::string_view word) const { return m_words.contains(word); }
    /// Has no effect for a long word, and when the memory is full, so that words that do not come
    /// again cannot displace the first ones.
    void add(std::string_view word);

    std::size_t size() const { return m_words.size(); }

    static constexpr std::size_t max_words = 256;
    static constexpr std::size_t max_word_size = 128;

private:
    base::settings_version m_version;
    std::set<std::string, std::less<>> m_words;
};

} // namespace damaskladder::daemon
