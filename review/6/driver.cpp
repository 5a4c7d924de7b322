// A machine of the core is replaced. Once its successor has had catch_up_s, another one loses its
// disk right after it has acknowledged a config. The config has to stay readable.

#include "../standin-2/fleet.hpp"

#include <csignal>
#include <filesystem>

using namespace review;

namespace {

constexpr double catch_up_s = 4.0;
constexpr double recovery_s = 15.0;
constexpr double contact_s = 3.0;
/// Until the new machine comes (replace_core), and until the one without its disk is back
/// (after_ack_wipe).
constexpr double replaced_after = 1.0;
constexpr double back_after = 1.0;
/// Beyond catch_up_s.
constexpr double margin = 0.3;

std::string config(unsigned version)
{
    return R"({"version":")" + version_text(version) +
           R"(","routes":{"r-get":{"host":"hulo84.example","path_prefix":"/get)" +
           std::to_string(version) +
           R"(/","route_type":"safe","timeout_s":5,"target_latency_s":2,"priority":0,)"
           R"("service":"store","max_attempts":2,"public":false}},"services":{"store":{)"
           R"("health_path":"/health","max_connections":370,"protocol":"h1","tls":false}},)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
           R"("idle_timeout_s":15},"tenants":{"pulo780":{"api_keys":["6wsjnbanfqasnmgkcuyj"],)"
           R"("priority":1,"rate_per_s":39,"burst":39}}})";
}

void lose_disk(const fleet& vms, const machine& vm)
{
    const auto data = vms.folder() + "/data-" + vm.name;
    std::filesystem::remove_all(data);
    record(vm.name + " has lost its disk");
}

/// The replica that answers a read of the config itself leads.
std::string leader_ip(fleet& vms)
{
    return get_config(vms, 5).from;
}

} // namespace

int main(int, char** arguments)
{
    open_record(arguments[1]);
    record(trouble() ? "with the disruption" : "without the disruption");
    // The fourth core machine is the spare one, which starts empty and later.
    fleet vms({"store", "store"}, 4);
    auto& spare = vms.core(3);
    std::vector<machine*> first = {&vms.core(0), &vms.core(1), &vms.core(2), &vms.sidecar(0),
                                   &vms.sidecar(1)};
    for (auto* vm : first) {
        vms.start(*vm, true);
    }
    if (put_config(vms, config(1), 0, 20).status != 200) {
        finish(2, "the first config was not accepted");
    }
    pause(5);
    const auto find = [&](const std::string& ip) -> machine* {
        for (std::size_t i = 0; i < vms.cores(); ++i) {
            if (vms.core(i).ip == ip) {
                return &vms.core(i);
            }
        }
        finish(2, "no leader");
    };
    if (trouble()) {
        auto& lost = *find(leader_ip(vms));
        record(lost.name + " is gone for good");
        vms.kill(lost);
        pause(replaced_after);
        std::vector<std::string> seeds;
        for (auto* vm : first) {
            if (vm->core && vm != &lost) {
                seeds.push_back(vm->ip);
            }
        }
        seeds.push_back(spare.ip);
        vms.set_seeds(seeds);
        vms.start(spare, false);
        const double started = now();
        pause(catch_up_s + margin);
        record("the successor has run for " + std::to_string(now() - started) +
               " s; from here on no machine counts as lost");
    }
    if (put_config(vms, config(2), 1, 4).status != 200) {
        finish(2, "the second config was not accepted");
    }
    if (trouble()) {
        auto& wiped = *find(leader_ip(vms));
        vms.kill(wiped);
        lose_disk(vms, wiped);
        pause(back_after);
        vms.start(wiped, false);
        pause(recovery_s);
    }
    else {
        pause(replaced_after + catch_up_s + margin + back_after + recovery_s);
    }
    // The read back at the end of the day: again and again for contact_s, and longer.
    const auto read = get_config(vms, 3 * contact_s);
    record("read back: " + (read.status == 0 ? std::string("no answer with a config") : read.body));
    if (read.status != 200) {
        const auto again = put_config(vms, config(3), 2, 4);
        finish(1, "the acknowledged config does not come " +
                      std::to_string(static_cast<int>(recovery_s)) +
                      " s after the machine is back; a new config gets " +
                      (again.status == 0 ? std::string("no clear answer")
                                         : std::to_string(again.status)));
    }
    if (read.body != config(2)) {
        finish(1, "another config than the acknowledged one is read back");
    }
    finish(0, "the acknowledged config is read back");
}
