#include "settings/problem_kind.hpp"

namespace damaskladder::settings {

std::string_view to_string(problem_kind kind)
{
    switch (kind) {
    case problem_kind::syntax:
        return "syntax";
    case problem_kind::too_long:
        return "too_long";
    case problem_kind::too_many:
        return "too_many";
    case problem_kind::duplicate_section:
        return "duplicate_section";
    case problem_kind::duplicate_field:
        return "duplicate_field";
    case problem_kind::unknown_path:
        return "unknown_path";
    case problem_kind::unknown_field:
        return "unknown_field";
    case problem_kind::missing_field:
        return "missing_field";
    case problem_kind::wrong_format:
        return "wrong_format";
    case problem_kind::out_of_range:
        return "out_of_range";
    case problem_kind::missing_reference:
        return "missing_reference";
    case problem_kind::not_unique:
        return "not_unique";
    case problem_kind::contradiction:
        return "contradiction";
    case problem_kind::diff_mismatch:
        return "diff_mismatch";
    }
    return "unknown";
}

} // namespace damaskladder::settings
