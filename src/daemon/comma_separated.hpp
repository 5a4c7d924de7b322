#pragma once

#include <string>

namespace damaskladder::daemon {

/// Joins the texts of the items with commas, for a field of a log line. An item whose text is empty
/// is left out.
template <class Items, class TextOf>
std::string comma_separated(const Items& items, TextOf text_of)
{
    std::string joined;
    for (const auto& item : items) {
        const std::string text = text_of(item);
        if (!text.empty()) {
            joined += (joined.empty() ? "" : ",") + text;
        }
    }
    return joined;
}

} // namespace damaskladder::daemon
