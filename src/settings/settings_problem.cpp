#include "settings/settings_problem.hpp"

namespace damaskladder::settings {

std::string to_string(const settings_problem& problem)
{
    std::string text;
    if (!problem.file.empty()) {
        text += problem.file + ":";
    }
    if (problem.line != line_number()) {
        text += std::to_string(problem.line.value()) + ":";
    }
    if (!text.empty()) {
        text += " ";
    }
    if (!problem.path.text().empty()) {
        text += "[" + problem.path.text() + "] ";
    }
    if (!problem.field.value().empty()) {
        text += problem.field.value() + ": ";
    }
    text += "expected " + problem.expected + " (";
    text += to_string(problem.kind);
    text += ")";
    return text;
}

} // namespace damaskladder::settings
