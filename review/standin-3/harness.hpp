#pragma once

// Stand-ins of the platform, of workers, of clients and of the operator for the cases 11 to 15, and
// a fleet of the project's own programs on loopback addresses.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline double now_s()
{
    static const auto start = steady::now();
    return std::chrono::duration<double>(steady::now() - start).count();
}

inline void sleep_s(double seconds)
{
    if (seconds <= 0) {
        return;
    }
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline long long unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// What was sent, answered and run, one line an event.
class event_record {
public:
    explicit event_record(const std::string& file) : m_out(file, std::ios::trunc) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now_s());
        m_out << time << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline event_record*& record_slot()
{
    static event_record* slot = nullptr;
    return slot;
}

inline void note(const std::string& text)
{
    record_slot()->line(text);
}

struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(const address& from)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(from.port));
    inet_pton(AF_INET, from.ip.c_str(), &made.sin_addr);
    return made;
}

inline void set_timeout(int fd, double seconds)
{
    timeval limit{};
    limit.tv_sec = static_cast<time_t>(seconds);
    limit.tv_usec = static_cast<suseconds_t>((seconds - static_cast<double>(limit.tv_sec)) * 1e6);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Returns a connected socket, or -1.
inline int connect_to(const address& to, double timeout_s)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_timeout(fd, timeout_s);
    const auto peer = socket_address(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool send_all(int fd, const std::string& data)
{
    std::size_t sent = 0;
    while (sent < data.size()) {
        const auto part = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (part <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(part);
    }
    return true;
}

/// One HTTP message read from a socket. `complete` is false if the connection ended before its end.
struct message {
    std::string first_line;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    bool complete = false;

    int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
    std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

inline message read_message(int fd, std::string& buffer, bool answer,
                            const std::function<void(const message&)>& on_head = {})
{
    message got;
    const auto more = [&] {
        char part[16384];
        const auto size = recv(fd, part, sizeof part, 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(part, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return got;
        }
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::getline(head, got.first_line);
    while (!got.first_line.empty() && got.first_line.back() == '\r') {
        got.first_line.pop_back();
    }
    for (std::string line; std::getline(head, line);) {
        while (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const auto value = line.find_first_not_of(" \t", colon + 1);
        got.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    if (on_head) {
        on_head(got);
    }
    const auto read_exactly = [&](std::size_t size) {
        while (buffer.size() < size) {
            if (!more()) {
                got.body += buffer;
                buffer.clear();
                return false;
            }
        }
        got.body += buffer.substr(0, size);
        buffer.erase(0, size);
        return true;
    };
    if (got.field("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t line_end = std::string::npos;
            while ((line_end = buffer.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return got;
                }
            }
            const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
            buffer.erase(0, line_end + 2);
            if (size > 0 && !read_exactly(size)) {
                return got;
            }
            while (buffer.size() < 2) {
                if (!more()) {
                    return got;
                }
            }
            buffer.erase(0, 2);
            if (size == 0) {
                got.complete = true;
                return got;
            }
        }
    }
    const auto length = got.field("content-length");
    if (!length.empty()) {
        got.complete = read_exactly(std::strtoull(length.c_str(), nullptr, 10));
    }
    else if (answer && got.status() != 204 && got.status() != 304) {
        while (more()) {
        }
        got.body = std::exchange(buffer, {});
        got.complete = true;
    }
    else {
        got.complete = true;
    }
    return got;
}

/// Sends one request on a new connection, not before the given time, and returns its answer; status
/// 0 if there was none.
inline message call(const address& to, const std::string& request, double timeout_s,
                    double not_before = 0)
{
    const int fd = connect_to(to, timeout_s);
    if (fd < 0) {
        return {};
    }
    sleep_s(not_before - now_s());
    std::string buffer;
    message got;
    if (send_all(fd, request)) {
        got = read_message(fd, buffer, true);
    }
    close(fd);
    return got;
}

inline std::string post(const std::string& path, const std::string& body,
                        const std::string& fields = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n" +
           fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------------------------------------------------------------
// The fleet

constexpr int inbound = 0;
constexpr int outbound = 1;
constexpr int ready = 2;
constexpr int control = 3;
constexpr int app = 4;
constexpr int internal = 5; // and the fifteen after it

struct machine {
    std::string name;
    std::string ip;
    std::string zone;
    bool core = false;
    std::string service;
    pid_t pid = -1;
    std::string folder;
    bool bootstrap = true;
};

/// Control replicas and nodes on addresses 127.x.y.z of their own, all with the same ports.
class fleet {
public:
    fleet(int cores, std::vector<std::string> services) : m_root(std::getenv("REVIEW_ROOT"))
    {
        char folder[] = "/tmp/review-3-XXXXXX";
        m_folder = mkdtemp(folder);
        const int net = 1 + static_cast<int>(getpid() % 250);
        const char* zones[] = {"zone-a", "zone-b", "zone-c"};
        int host = 1;
        for (int i = 0; i < cores; ++i) {
            add("core-" + std::to_string(i + 1),
                "127.77." + std::to_string(net) + "." + std::to_string(host++), zones[i % 3], true,
                "");
        }
        for (std::size_t i = 0; i < services.size(); ++i) {
            add("side-" + std::to_string(i + 1),
                "127.77." + std::to_string(net) + "." + std::to_string(host++), zones[i % 3], false,
                services[i]);
        }
        find_ports();
    }

    ~fleet()
    {
        for (auto& each : machines) {
            kill_now(each);
        }
        if (std::getenv("REVIEW_KEEP") == nullptr) {
            const auto remove = "rm -rf '" + m_folder + "'";
            [[maybe_unused]] const int done = std::system(remove.c_str());
        }
    }

    address at(const machine& each, int port) const { return {each.ip, m_base + port}; }
    machine& operator[](const std::string& name)
    {
        return *std::find_if(machines.begin(), machines.end(),
                             [&](const auto& m) { return m.name == name; });
    }
    std::vector<machine*> cores() { return of(true); }
    std::vector<machine*> sides() { return of(false); }

    void start_all()
    {
        for (auto& each : machines) {
            start(each);
        }
    }

    void start(machine& each)
    {
        const auto settings = each.folder + "/local.json";
        std::ofstream(settings, std::ios::trunc) << rendered(each);
        const auto log = each.folder + "/log";
        const auto program = m_root + "/target/damaskladder";
        each.pid = fork();
        if (each.pid == 0) {
            // A case that is cut off leaves no process behind.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            dup2(out, 1);
            dup2(out, 2);
            sigset_t none;
            sigemptyset(&none);
            sigprocmask(SIG_SETMASK, &none, nullptr);
            if (chdir(m_root.c_str()) != 0) {
                _exit(127);
            }
            execl(program.c_str(), program.c_str(), "run", settings.c_str(),
                  static_cast<char*>(nullptr));
            _exit(127);
        }
        note("platform start " + each.name);
    }

    void send_signal(machine& each, int number)
    {
        if (each.pid > 0) {
            kill(each.pid, number);
        }
    }

    void kill_now(machine& each)
    {
        if (each.pid > 0) {
            kill(each.pid, SIGKILL);
            waitpid(each.pid, nullptr, 0);
            each.pid = -1;
        }
    }

    /// Kills the given machines' processes at the same moment.
    void kill_together(const std::vector<machine*>& all)
    {
        for (auto* each : all) {
            send_signal(*each, SIGKILL);
        }
        for (auto* each : all) {
            kill_now(*each);
        }
    }

    /// Whether the process of a machine has ended by itself.
    bool ended(machine& each, int* status = nullptr)
    {
        int how = 0;
        if (each.pid > 0 && waitpid(each.pid, &how, WNOHANG) == each.pid) {
            each.pid = -1;
            if (status != nullptr) {
                *status = how;
            }
            return true;
        }
        return false;
    }

    std::string log_of(const machine& each) const
    {
        std::ifstream in(each.folder + "/log");
        std::stringstream text;
        text << in.rdbuf();
        return text.str();
    }

    bool is_ready(const machine& each) const
    {
        return call(at(each, ready), "GET /damaskladder/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1)
                   .status() == 200;
    }

    std::vector<machine> machines;
    /// Names of core machines that no settings file names as a seed.
    std::set<std::string> spares;

private:
    void add(const std::string& name, const std::string& ip, const std::string& zone, bool core,
             const std::string& service)
    {
        machine made;
        made.name = name;
        made.ip = ip;
        made.zone = zone;
        made.core = core;
        made.service = service;
        made.folder = m_folder + "/" + name;
        mkdir(made.folder.c_str(), 0755);
        mkdir((made.folder + "/data").c_str(), 0755);
        machines.push_back(made);
    }

    std::vector<machine*> of(bool core)
    {
        std::vector<machine*> found;
        for (auto& each : machines) {
            if (each.core == core) {
                found.push_back(&each);
            }
        }
        return found;
    }

    bool is_free(const address& wanted) const
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto bound = socket_address(wanted);
        const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) == 0;
        close(fd);
        return free;
    }

    void find_ports()
    {
        for (m_base = 21000; m_base < 31000; m_base += 40) {
            bool free = true;
            for (const auto& each : machines) {
                for (int port = 0; free && port < internal + 16; ++port) {
                    free = is_free(at(each, port));
                }
            }
            if (free) {
                return;
            }
        }
        std::fprintf(stderr, "no free ports\n");
        std::exit(2);
    }

    std::string rendered(const machine& each)
    {
        std::ifstream in(m_root + (each.core ? "/deploy/replica.ini" : "/deploy/node.ini"));
        std::stringstream read;
        read << in.rdbuf();
        auto text = read.str();
        const auto put = [&](const std::string& place, const std::string& value) {
            for (std::size_t found = 0; (found = text.find(place, found)) != std::string::npos;
                 found += value.size()) {
                text.replace(found, place.size(), value);
            }
        };
        const auto remove_section = [&](const std::string& name) {
            const auto from = text.find("{{#" + name + "}}");
            const auto end = "{{/" + name + "}}\n";
            const auto to = text.find(end);
            if (from != std::string::npos && to != std::string::npos) {
                text.erase(from, to + end.size() - from);
            }
        };
        std::string seeds;
        for (const auto* core : cores()) {
            if (spares.contains(core->name)) {
                continue;
            }
            seeds += (seeds.empty() ? "" : ",") + at(*core, control).text();
        }
        put("{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}",
            each.bootstrap ? "yes" : "no");
        put("{{#zones}}{{@}}{{,}} {{/zones}}", "zone-a, zone-b, zone-c ");
        put("{{#fault_tolerance.nodes}}tolerated_losses = {{.}}\n{{/fault_tolerance.nodes}}\n",
            "tolerated_losses = 1\n");
        put("{{#contract_bounds.revoke_s}}key_withdrawal = {{.}}s\n{{/contract_bounds.revoke_s}}\n",
            "key_withdrawal = 5s\n");
        remove_section("contract_bounds.cold_overage");
        remove_section("contract_bounds.cold_slack");
        // The internal ports of the template are fixed; these are the ones of this fleet.
        put("{{ip}}:7001", at(each, internal + 1).text());
        put("{{ip}}:7002", at(each, internal + 2).text());
        put("{{ip}}:7003", at(each, internal + 3).text());
        put("{{ip}}", each.ip);
        put("{{zone}}", each.zone);
        put("{{internal_ports.0}}", std::to_string(m_base + internal));
        put("{{seed_nodes}}", seeds);
        put("{{listen.outbound}}", at(each, outbound).text());
        put("{{listen.inbound}}", at(each, inbound).text());
        put("{{listen.control}}", at(each, control).text());
        put("{{listen.ready}}", at(each, ready).text());
        put("{{contract_bounds.retry_budget_ratio}}", "0.2");
        put("{{contract_bounds.grace_s}}", "6");
        put("{{service}}", each.service);
        put("{{heartbeat_s}}", "1.5");
        put("{{data_dir}}", each.folder + "/data");
        if (text.find("{{") != std::string::npos) {
            std::fprintf(stderr, "a placeholder of the template is unknown: %s\n",
                         text.substr(text.find("{{"), 60).c_str());
            std::exit(2);
        }
        return text;
    }

    std::string m_root;
    std::string m_folder;
    int m_base = 0;
};

// ---------------------------------------------------------------------------------------------------------------------
// Workers

struct run {
    std::string id;
    std::string worker;
    std::string tenant;
    std::string path;
    double at = 0;
};

/// All runs of all workers.
class run_list {
public:
    void add(const run& one)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(one);
        note("run " + one.id + " at " + one.worker + " tenant " + one.tenant + " path " + one.path);
    }
    std::vector<run> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<run> m_runs;
};

/// A worker: answers after a while, and sends pings to the node beside it.
class worker {
public:
    worker(fleet& of, machine& beside, run_list& runs, std::string id, double work_s)
        : m_fleet(of),
          m_beside(beside),
          m_runs(runs),
          m_id(std::move(id)),
          m_work_s(work_s),
          m_born(unix_ms())
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto bound = socket_address(of.at(beside, app));
        if (bind(m_listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 ||
            listen(m_listener, 1024) != 0) {
            std::fprintf(stderr, "a worker cannot listen\n");
            std::exit(2);
        }
        std::thread([this] { accept_all(); }).detach();
    }

    const std::string& id() const { return m_id; }

    void start_pings()
    {
        m_pinging = true;
        std::thread([this] {
            while (m_pinging) {
                send_ping(take_ping("ready"));
                sleep_s(1.5);
            }
        }).detach();
    }
    void stop_pings() { m_pinging = false; }

    /// The next ping as the worker makes it; it may be sent later.
    std::string take_ping(const std::string& state)
    {
        const auto sequence = ++m_sequence;
        return "{\"service\":\"" + m_beside.service + "\",\"address\":\"" +
               m_fleet.at(m_beside, app).text() + "\",\"zone\":\"" + m_beside.zone +
               "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" +
               state + "\",\"cold_left_s\":0,\"sequence\":" + std::to_string(sequence) +
               ",\"born\":" + std::to_string(m_born) + "}";
    }

    int send_ping(const std::string& body)
    {
        const auto answer = call(m_fleet.at(m_beside, control),
                                 post("/damaskladder/instances/" + m_id + "/heartbeat", body), 1);
        return answer.status();
    }

    /// Without a body, as in the examples of the pages.
    int deregister()
    {
        return call(m_fleet.at(m_beside, control),
                    post("/damaskladder/instances/" + m_id + "/deregister", ""), 1)
            .status();
    }

    int slots = 200;
    /// Called with the head of a request if set; returns whether it has answered already.
    std::function<bool(const message&, int)> early_answer;
    /// Replaces the usual answer if set; gets the request and the socket.
    std::function<void(const message&, int)> answer;

private:
    void accept_all()
    {
        for (;;) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        set_timeout(fd, 10);
        std::string buffer;
        for (;;) {
            bool answered_early = false;
            const auto request = read_message(fd, buffer, false, [&](const message& head) {
                answered_early = early_answer && early_answer(head, fd);
            });
            if (!request.complete) {
                break;
            }
            const auto id = request.field("request-id");
            const auto first = request.first_line.find(' ') + 1;
            const auto path =
                request.first_line.substr(first, request.first_line.rfind(' ') - first);
            if (path == "/health") {
                send_all(fd, "HTTP/1.1 200 OK\r\nInstance-Id: " + m_id +
                                 "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const auto expected = request.field("expected-instance");
            if (!expected.empty() && expected != m_id) {
                send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id +
                                 "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            m_runs.add({id, m_id, request.field("tenant-id"), path, now_s()});
            if (answered_early) {
                continue;
            }
            if (answer) {
                answer(request, fd);
                continue;
            }
            sleep_s(m_work_s);
            const std::string body = "done " + id;
            if (!send_all(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                  "\r\nResponse-Signature: sig-" + id + "\r\nContent-Length: " +
                                  std::to_string(body.size()) + "\r\n\r\n" + body)) {
                break;
            }
        }
        close(fd);
    }

    fleet& m_fleet;
    machine& m_beside;
    run_list& m_runs;
    std::string m_id;
    double m_work_s;
    long long m_born;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_pinging{false};
    int m_listener = -1;
};

// ---------------------------------------------------------------------------------------------------------------------
// Clients and the operator

struct sent_request {
    std::string id;
    std::string node;
    std::string key;
    double sent = 0;
    double answered = 0;
    int status = 0;
};

/// All requests of all clients.
class client_group {
public:
    explicit client_group(fleet& of) : m_fleet(of) {}

    sent_request send(const machine& at, const std::string& method, const std::string& path,
                      const std::string& key, double timeout_s, double not_before = 0)
    {
        sent_request made;
        made.id = "q" + std::to_string(++m_last);
        made.node = at.name;
        made.key = key;
        const auto authorization =
            key.empty() ? std::string() : "Authorization: Token " + key + "\r\n";
        const auto length = method == "GET" ? std::string() : std::string("Content-Length: 0\r\n");
        const auto text = method + " " + path +
                          " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + made.id +
                          "\r\nDeadline-Ms: " + std::to_string(static_cast<int>(timeout_s * 1000)) +
                          "\r\n" + authorization + length + "\r\n";
        made.sent = std::max(now_s(), not_before);
        note("sent " + made.id + " to " + at.name + " path " + path);
        const auto answer = call(m_fleet.at(at, outbound), text, timeout_s + 0.5, not_before);
        made.answered = now_s();
        made.status = answer.complete ? answer.status() : 0;
        note("answered " + made.id + " " + std::to_string(made.status));
        const std::lock_guard lock(m_mutex);
        m_all.push_back(made);
        return made;
    }

    std::vector<sent_request> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_all;
    }

private:
    fleet& m_fleet;
    mutable std::mutex m_mutex;
    std::atomic<int> m_last{0};
    std::vector<sent_request> m_all;
};

struct tenant {
    std::string name;
    std::vector<std::string> keys;
    double rate = 0;
    double burst = 0;
};

struct route {
    std::string name;
    std::string prefix;
    std::string type = "safe";
    std::string service;
    double timeout_s = 3;
    bool open = false;
};

inline std::string version_text(unsigned version)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    return text;
}

inline std::string config_text(unsigned version, const std::vector<std::string>& services,
                               const std::vector<route>& routes, const std::vector<tenant>& tenants)
{
    std::string text = "{\"version\":\"" + version_text(version) + "\",\"routes\":{";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto& each = routes[i];
        text += (i == 0 ? "" : ",") + std::string("\"") + each.name +
                "\":{\"host\":\"shop.example\",\"path_prefix\":\"" + each.prefix +
                "\",\"route_type\":\"" + each.type +
                "\",\"timeout_s\":" + std::to_string(each.timeout_s) +
                ",\"target_latency_s\":1,\"priority\":0,\"service\":\"" + each.service +
                "\",\"max_attempts\":2,\"public\":" + (each.open ? "true" : "false") + "}";
    }
    text += "},\"services\":{";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text += (i == 0 ? "" : ",") + std::string("\"") + services[i] +
                "\":{\"health_path\":\"/"
                "health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}";
    }
    text += "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_"
            "s\":3,"
            "\"idle_timeout_s\":15},\"tenants\":{";
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        const auto& each = tenants[i];
        text += (i == 0 ? "" : ",") + std::string("\"") + each.name + "\":{\"api_keys\":[";
        for (std::size_t k = 0; k < each.keys.size(); ++k) {
            text += (k == 0 ? "" : ",") + std::string("\"") + each.keys[k] + "\"";
        }
        text += "],\"priority\":0,\"rate_per_s\":" + std::to_string(each.rate) +
                ",\"burst\":" + std::to_string(each.burst) + "}";
    }
    return text + "}}";
}

/// Sends a config as the operator does, until it is acknowledged or refused. Returns the last
/// status.
inline int put_config(fleet& of, unsigned base, const std::string& text, double limit_s = 20)
{
    const auto end = now_s() + limit_s;
    const auto cores = of.cores();
    std::size_t next = 0;
    address to = of.at(*cores[0], control);
    int redirects = 0;
    while (now_s() < end) {
        const auto answer = call(
            to,
            post("/damaskladder/config/put", text, "Base-Version: " + version_text(base) + "\r\n"),
            1);
        const auto status = answer.status();
        if (status == 200 || status == 400 || status == 412) {
            note("operator put base " + version_text(base) + " " + text.substr(1, 20) + " -> " +
                 std::to_string(status));
            return status;
        }
        const auto location = answer.field("location");
        if (status == 307 && redirects < 2 && location.rfind("http://", 0) == 0) {
            ++redirects;
            const auto host = location.substr(7, location.find('/', 7) - 7);
            to = {host.substr(0, host.find(':')),
                  std::atoi(host.substr(host.find(':') + 1).c_str())};
            continue;
        }
        redirects = 0;
        to = of.at(*cores[++next % cores.size()], control);
        sleep_s(0.2);
    }
    return 0;
}

/// Makes calls at given times, each on a thread of its own, which begins only then.
class paced_calls {
public:
    void add(double at, std::function<void()> call) { m_calls.emplace(at, std::move(call)); }

    /// Begins the calls added so far.
    void begin()
    {
        m_pacers.emplace_back([this, calls = std::exchange(m_calls, {})] {
            std::vector<std::thread> running;
            for (const auto& [at, call] : calls) {
                sleep_s(at - now_s());
                running.emplace_back(call);
            }
            for (auto& each : running) {
                each.join();
            }
        });
    }

    /// Waits for the end of all calls that were begun.
    void finish()
    {
        for (auto& each : m_pacers) {
            each.join();
        }
        m_pacers.clear();
    }

private:
    std::multimap<double, std::function<void()>> m_calls;
    std::vector<std::thread> m_pacers;
};

/// Waits until a condition holds. Ends the case with 2 if it doesn't in time.
inline void wait_until(const char* what, double limit_s, const std::function<bool()>& holds)
{
    const auto end = now_s() + limit_s;
    while (!holds()) {
        if (now_s() > end) {
            std::fprintf(stderr, "could not run: %s\n", what);
            note(std::string("could not run: ") + what);
            throw 2;
        }
        sleep_s(0.1);
    }
}

inline bool has_trouble()
{
    const char* set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

/// Runs a case and returns the exit code of its script.
inline int run_case(const std::function<int()>& body)
{
    signal(SIGPIPE, SIG_IGN);
    if (std::getenv("REVIEW_ROOT") == nullptr || std::getenv("REVIEW_RECORD") == nullptr) {
        std::fprintf(stderr, "start the case with its run.sh\n");
        return 2;
    }
    now_s();
    event_record record(std::getenv("REVIEW_RECORD"));
    record_slot() = &record;
    int code = 2;
    try {
        code = body();
    }
    catch (int failed) {
        code = failed;
    }
    note("exit " + std::to_string(code));
    std::fflush(nullptr);
    _exit(code);
}

} // namespace review
