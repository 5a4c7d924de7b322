#include "membership/announce_verdict.hpp"

namespace damaskladder::membership {

std::string_view to_string(announce_verdict verdict)
{
    switch (verdict) {
    case announce_verdict::accepted:
        return "accepted";
    case announce_verdict::invalid:
        return "invalid";
    case announce_verdict::not_permitted:
        return "not_permitted";
    case announce_verdict::too_many:
        return "too_many";
    case announce_verdict::unknown:
        return "unknown";
    case announce_verdict::outdated:
        return "outdated";
    case announce_verdict::leaving:
        return "leaving";
    case announce_verdict::unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

} // namespace damaskladder::membership
