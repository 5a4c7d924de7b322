#include "daemon/operator_answer.hpp"

#include "control/timestamp_text.hpp"

#include <nlohmann/json.hpp>

namespace damaskladder::daemon {

namespace {

using nlohmann::ordered_json;

bool is_unknown(consensus::refusal_reason reason)
{
    return reason == consensus::refusal_reason::leadership_lost ||
           reason == consensus::refusal_reason::storage_failed;
}

} // namespace

std::string to_json(const control::change_reply& answer)
{
    ordered_json json = {{"verdict", to_string(answer.verdict)},
                         {"version", answer.version.value()},
                         {"proposal", answer.proposal.value()}};
    if (answer.conflict) {
        const auto& conflict = *answer.conflict;
        json["conflict"] = {{"version", conflict.version.value()},
                            {"author", conflict.author.value()},
                            {"change", conflict.change.value()},
                            {"when", control::format_timestamp(conflict.when)},
                            {"difference", to_string(conflict.difference)},
                            {"omitted", conflict.omitted},
                            {"complete", conflict.complete}};
    }
    for (const auto& problem : answer.problems) {
        json["problems"].push_back(to_string(problem));
    }
    return json.dump() + "\n";
}

std::string to_json(const control::submission_refused& refusal)
{
    ordered_json json = {{"error", to_string(refusal.reason)},
                         {"outcome", is_unknown(refusal.reason) ? "unknown" : "not_done"}};
    if (refusal.known_leader) {
        json["leader"] = refusal.known_leader->value();
    }
    return json.dump() + "\n";
}

} // namespace damaskladder::daemon
