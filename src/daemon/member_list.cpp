#include "daemon/member_list.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace damaskladder::daemon {

namespace {

constexpr base::duration missing_after = std::chrono::seconds(2);

} // namespace

nlohmann::ordered_json member_list(const consensus::replica_status& status, base::time_point now)
{
    auto list = nlohmann::ordered_json::array();
    for (const auto& member : status.members.members) {
        const auto& id = member.identity.id;
        nlohmann::ordered_json entry = {{"name", id.value()},
                                        {"voter", member.role == consensus::member_role::voter}};
        if (const auto heard = status.last_heard(id)) {
            const auto silent = std::max(now - *heard, base::duration::zero());
            entry["silent_ms"] =
                std::chrono::duration_cast<std::chrono::milliseconds>(silent).count();
            entry["missing"] = silent >= missing_after;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

} // namespace damaskladder::daemon
