#include "daemon/word_memory.hpp"

namespace damaskladder::daemon {

void word_memory::use_settings(base::settings_version version)
{
    if (version != m_version) {
        m_version = version;
        m_words.clear();
    }
}

void word_memory::add(std::string_view word)
{
    if (word.size() <= max_word_size && m_words.size() < max_words) {
        m_words.emplace(word);
    }
}

} // namespace damaskladder::daemon
