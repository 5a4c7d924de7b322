// Hundreds of changes of a large config, with the memory limit of a control machine enforced.
#include "../standin/standin.hpp"

using namespace review;

namespace {

/// Routes added at once, the largest dose of `big_config` in the site files in force.
constexpr int added_routes = 1512;
/// "A day may be long and may contain hundreds of changes."
constexpr int changes = 450;
/// Without the disruption: the same number of changes of a config without the added routes.
constexpr int own_routes = 4;
/// memory_mb of a control machine.
constexpr double memory_bytes = 256.0 * 1024 * 1024;
constexpr double restart_delay_s = 0.5;
/// Ends of their own that break the rule, on half of the control machines.
constexpr int ends_allowed = 3;
constexpr double changes_until_s = 92;
constexpr double contact_s = 3;

/// Anonymous memory of a process, in bytes; pages of program files do not count.
double memory_of(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "RssAnon:") {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

/// Does what the platform does with a process that uses more memory than its limit: kills it and
/// starts it again after a short delay.
class memory_limit {
public:
    memory_limit(fleet& system, recorder& record)
        : m_record(record), m_thread([this, &system] {
              while (!m_stopped) {
                  for (std::size_t i = 0; i < system.core.size(); ++i) {
                      check(*system.core[i], i);
                  }
                  sleep_s(0.02);
              }
          })
    {
    }
    ~memory_limit() { stop(); }

    void stop()
    {
        m_stopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Control machines whose processes ended as often as the rule allows no more.
    int machines_beyond() const
    {
        int count = 0;
        for (const int ends : m_ends) {
            count += ends >= ends_allowed ? 1 : 0;
        }
        return count;
    }

private:
    void check(machine& each, std::size_t index)
    {
        if (each.pid < 0) {
            if (now_s() >= m_restart_at[index]) {
                each.start();
                m_record.line("start of " + each.name);
            }
            return;
        }
        const double used = memory_of(each.pid);
        if (used > memory_bytes) {
            each.kill();
            ++m_ends[index];
            m_restart_at[index] = now_s() + restart_delay_s;
            m_record.line(each.name + " uses " + std::to_string(used / 1024 / 1024) +
                          " MB of memory and is killed, end " + std::to_string(m_ends[index]));
        }
    }

    recorder& m_record;
    int m_ends[3] = {};
    double m_restart_at[3] = {};
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

std::string hex(int version)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    return text;
}

} // namespace

int main(int, char** arguments)
{
    recorder record(arguments[1]);
    fleet system(record);
    system.add_core(3);
    auto& entry = system.add_sidecar("catalog", 0);
    server catalog("catalog", entry.ip(), 8547, "i-catalog-1", record,
                   [](const http_message&) { return std::string("done"); });
    system.start_all();
    heartbeats of_catalog(system, entry, catalog);
    std::string routes;
    const int count = trouble() ? added_routes + own_routes : own_routes;
    for (int i = 0; i < count; ++i) {
        routes += route("r-" + std::to_string(100000 + i), "/leny" + std::to_string(i) + "/",
                        "safe", "catalog", 5) +
                  ",";
    }
    memory_limit limit(system, record);
    int accepted = 0;
    while (accepted < changes && now_s() < changes_until_s && limit.machines_beyond() < 2) {
        // Each version changes the timeout of one route.
        const auto text = config(
            hex(accepted + 1), routes + route("r-1", "/shop/", "safe", "catalog", 1 + accepted % 5),
            {"catalog"});
        if (system.put_config(hex(accepted), text, 5) == 200) {
            ++accepted;
        }
    }
    record.line(std::to_string(accepted) + " changes acknowledged");
    const double end = now_s() + 4 * contact_s;
    while (now_s() < end && limit.machines_beyond() < 2) {
        sleep_s(0.1);
    }
    const int beyond = limit.machines_beyond();
    // Reads the config back while the platform goes on.
    bool read_back = false;
    const double read_end = now_s() + 2 * contact_s;
    while (now_s() < read_end && !read_back) {
        for (auto* each : system.core) {
            const auto answer = fleet::call(each->ip(), each->port("control"),
                                            "GET /damaskladder/config/get HTTP/1.1\r\n", "");
            read_back =
                read_back || (answer.status() == 200 &&
                              answer.body.find("\"" + hex(accepted) + "\"") != std::string::npos);
        }
        sleep_s(0.1);
    }
    limit.stop();
    int result = rule_held;
    if (beyond >= 2) {
        result = rule_broken;
    }
    else if (accepted < changes) {
        result = could_not_run;
    }
    record.line(std::to_string(beyond) +
                " of 3 control machines ended by themselves three times; " + "the config is " +
                (read_back ? "" : "not ") + "read back; exit code " + std::to_string(result));
    return result;
}
