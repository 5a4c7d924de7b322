#include "daemon/key_filter.hpp"

#include "daemon/key_size.hpp"

#include <sodium.h>

#include <array>
#include <string>

namespace damaskladder::daemon {

namespace {

using key_test = std::function<bool(std::string_view)>;

constexpr std::string_view separators = " \t,;";
constexpr std::string_view basic_scheme = "Basic";
/// Size of a user name, a colon and a password that are keys, and some more.
constexpr std::size_t max_credentials_size = 2048;

bool is_key_text(std::string_view text, const key_test& is_key)
{
    return !text.empty() && text.size() <= max_key_size && is_key(text);
}

std::string_view without_quotes(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        return text.substr(1, text.size() - 2);
    }
    return text;
}

/// Whether a word, or the value in `name=value`, is a key.
bool word_holds_key(std::string_view word, const key_test& is_key)
{
    const auto text = without_quotes(word);
    if (is_key_text(text, is_key)) {
        return true;
    }
    const auto equals = text.find('=');
    return equals != std::string_view::npos &&
           is_key_text(without_quotes(text.substr(equals + 1)), is_key);
}

/// Whether the user or the password in the base64 text of the Basic scheme is a key.
bool credentials_hold_key(std::string_view text, const key_test& is_key)
{
    std::array<unsigned char, max_credentials_size> decoded{};
    std::size_t size = 0;
    if (sodium_base642bin(decoded.data(), decoded.size(), text.data(), text.size(), nullptr, &size,
                          nullptr, sodium_base64_VARIANT_ORIGINAL) != 0) {
        return false;
    }
    const std::string_view credentials(reinterpret_cast<const char*>(decoded.data()), size);
    const auto colon = credentials.find(':');
    return is_key_text(credentials.substr(0, colon), is_key) ||
           (colon != std::string_view::npos && is_key_text(credentials.substr(colon + 1), is_key));
}

bool holds_key(std::string_view value, const key_test& is_key)
{
    if (is_key_text(value, is_key)) {
        return true;
    }
    std::string_view previous;
    for (auto rest = value; !rest.empty();) {
        const auto end = rest.find_first_of(separators);
        const auto word = rest.substr(0, end);
        // A value of one word was looked at above.
        const bool looked_at = word.size() == value.size() && word.find('=') == word.npos &&
                               word.find('"') == word.npos;
        if (!word.empty() && !looked_at && word_holds_key(word, is_key)) {
            return true;
        }
        if (http::same_name(previous, basic_scheme) && credentials_hold_key(word, is_key)) {
            return true;
        }
        previous = word.empty() ? previous : word;
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
    return false;
}

} // namespace

void remove_fields_with_keys(http::header_list& headers, const key_test& is_key)
{
    headers.remove_if([&](const http::header& field) { return holds_key(field.value, is_key); });
}

} // namespace damaskladder::daemon
