// Stand-ins of the platform, its servers, clients and operator for the scripts of the review, and
// the start of the project's own programs with settings rendered from the deploy templates.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline double now_s()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Writes what was sent, answered and run to record.txt.
class recorder {
public:
    explicit recorder(const std::string& path) : m_out(path) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", now_s());
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct http_message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        for (const auto& [known, value] : fields) {
            if (strcasecmp(known.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    /// Status of a response; 0 if there is none.
    int status() const { return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0; }
    std::string method() const { return start_line.substr(0, start_line.find(' ')); }
    std::string target() const
    {
        const auto from = start_line.find(' ') + 1;
        return start_line.substr(from, start_line.find(' ', from) - from);
    }
};

/// A TCP connection with blocking calls that end at a time limit.
class connection {
public:
    connection() = default;
    explicit connection(int fd) : m_fd(fd) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    bool open(const std::string& ip, int port, double timeout_s = 1.0, int receive_buffer = 0)
    {
        close();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (receive_buffer > 0) {
            ::setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
        if (::connect(m_fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 &&
            errno != EINPROGRESS) {
            close();
            return false;
        }
        pollfd waiting{m_fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (::poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
            ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close();
            return false;
        }
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }

    bool binds(const std::string& ip, int port) const
    {
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
        return ::bind(m_fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
    }

    bool send(const std::string& bytes, double timeout_s = 5.0)
    {
        std::size_t sent = 0;
        const double end = now_s() + timeout_s;
        while (sent < bytes.size()) {
            const auto count =
                ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
                continue;
            }
            if ((errno != EAGAIN && errno != EINTR) || now_s() >= end) {
                return false;
            }
            pollfd waiting{m_fd, POLLOUT, 0};
            ::poll(&waiting, 1, 50);
        }
        return true;
    }

    /// Reads at most `most` bytes into the buffer. Returns false at the end of the connection or
    /// of the time.
    bool read_some(double end, std::size_t most = 65536)
    {
        for (;;) {
            std::string piece(most, '\0');
            const auto count = ::recv(m_fd, piece.data(), piece.size(), MSG_DONTWAIT);
            if (count > 0) {
                m_buffer.append(piece.data(), static_cast<std::size_t>(count));
                return true;
            }
            if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
                m_ended = true;
                return false;
            }
            const double left = end - now_s();
            if (left <= 0) {
                return false;
            }
            pollfd waiting{m_fd, POLLIN, 0};
            ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1);
        }
    }

    /// Reads the head of a message; the body follows with read_body.
    std::optional<http_message> read_head(double timeout_s)
    {
        const double end = now_s() + timeout_s;
        std::size_t head_end = 0;
        while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!read_some(end)) {
                return std::nullopt;
            }
        }
        http_message message;
        std::istringstream head(m_buffer.substr(0, head_end + 2));
        m_buffer.erase(0, head_end + 4);
        std::string line;
        std::getline(head, line);
        message.start_line = line.substr(0, line.size() - 1);
        while (std::getline(head, line) && line.size() > 1) {
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon),
                                        line.substr(value, line.size() - 1 - value));
        }
        return message;
    }

    /// Reads the body that the head announces; false if it does not come whole.
    bool read_body(http_message& message, double timeout_s)
    {
        const double end = now_s() + timeout_s;
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                std::size_t line_end = 0;
                while ((line_end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!read_some(end)) {
                        return false;
                    }
                }
                const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                while (m_buffer.size() < line_end + 2 + size + 2) {
                    if (!read_some(end)) {
                        return false;
                    }
                }
                message.body += m_buffer.substr(line_end + 2, size);
                m_buffer.erase(0, line_end + 2 + size + 2);
                if (size == 0) {
                    return true;
                }
            }
        }
        const auto length = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!read_some(end)) {
                return false;
            }
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return true;
    }

    std::optional<http_message> read_message(double timeout_s)
    {
        auto message = read_head(timeout_s);
        if (!message || !read_body(*message, timeout_s)) {
            return std::nullopt;
        }
        return message;
    }

    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
        m_fd = -1;
        m_buffer.clear();
        m_ended = false;
    }

    /// Bytes that have been read but not taken yet.
    std::size_t buffered() const { return m_buffer.size(); }
    bool ended() const { return m_ended; }

private:
    int m_fd = -1;
    bool m_ended = false;
    std::string m_buffer;
};

/// A server as the pages describe it: runs requests, echoes Request-Id, signs its answers, refuses
/// requests for another instance with 421.
class server {
public:
    struct run {
        double at = 0;
        http_message request;
    };
    /// Body of the answer; may sleep for the time that the work takes.
    using work = std::function<std::string(const http_message& request)>;

    server(std::string service, std::string ip, int port, std::string id, recorder& record,
           work handler)
        : service(std::move(service)),
          ip(std::move(ip)),
          port(port),
          id(std::move(id)),
          m_record(record),
          m_work(std::move(handler))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, this->ip.c_str(), &at.sin_addr);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(m_listener, 128) != 0) {
            std::perror("server stand-in: listen");
            std::exit(could_not_run);
        }
        std::thread([this] { accept_all(); }).detach();
    }

    std::vector<run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    std::string address() const { return ip + ":" + std::to_string(port); }

    const std::string service;
    const std::string ip;
    const int port;
    const std::string id;

private:
    void accept_all()
    {
        for (;;) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                std::thread([this, fd] { serve(fd); }).detach();
            }
        }
    }

    void serve(int fd)
    {
        connection caller(fd);
        while (auto request = caller.read_message(10.0)) {
            std::string head = "Request-Id: " + request->field("Request-Id") + "\r\n";
            const auto expected = request->field("Expected-Instance");
            if (!expected.empty() && expected != id) {
                m_record.line("server " + id + " answers 421 to " + request->start_line);
                caller.send("HTTP/1.1 421 Misdirected Request\r\n" + head +
                            "Content-Length: 0\r\n\r\n");
                continue;
            }
            if (request->target() == "/health") {
                caller.send("HTTP/1.1 200 OK\r\nInstance-Id: " + id +
                            "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_runs.push_back({now_s(), *request});
            }
            m_record.line("server " + id + " of " + service + " runs " + request->start_line +
                          " id " + request->field("Request-Id"));
            const auto body = m_work(*request);
            const bool sent =
                caller.send("HTTP/1.1 200 OK\r\n" + head + "Response-Signature: sig-" +
                                request->field("Request-Id") + "\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body,
                            30.0);
            m_record.line("server " + id + " has " + (sent ? "answered" : "not answered") + " id " +
                          request->field("Request-Id"));
            if (!sent) {
                return;
            }
        }
    }

    recorder& m_record;
    work m_work;
    int m_listener = -1;
    mutable std::mutex m_mutex;
    std::vector<run> m_runs;
};

/// The settings of a machine, by the names of the platform's page.
using values = std::map<std::string, std::string>;

inline std::string read_file(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Fills in a template as the deploy page says, for plain values.
inline std::string render(std::string text, const values& fields)
{
    const auto value_of = [&](const std::string& name) {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    };
    std::size_t at = 0;
    while ((at = text.find("{{", at)) != std::string::npos) {
        const auto end = text.find("}}", at);
        std::string name = text.substr(at + 2, end - at - 2);
        if (name[0] == '#' || name[0] == '^') {
            const bool wanted = name[0] == '#';
            name.erase(0, 1);
            const std::string close = "{{/" + name + "}}";
            const auto close_at = text.find(close, end);
            std::string inner = text.substr(end + 2, close_at - end - 2);
            const auto value = value_of(name);
            const bool present = !value.empty() && value != "false";
            auto dot = inner.find("{{.}}");
            if (dot != std::string::npos) {
                inner.replace(dot, 5, value);
            }
            text.replace(at, close_at + close.size() - at, present == wanted ? inner : "");
        }
        else {
            text.replace(at, end + 2 - at, value_of(name));
        }
    }
    return text;
}

/// One machine: a process of the project with the settings of its role.
class machine {
public:
    machine(std::string name, std::string settings_template, values fields, std::string folder)
        : name(std::move(name)),
          fields(std::move(fields)),
          m_template(std::move(settings_template)),
          m_folder(std::move(folder))
    {
    }

    /// Runs the command of the deploy file, with the settings file in the folder of the test.
    void start()
    {
        const auto settings = m_folder + "/" + name + ".ini";
        std::ofstream(settings) << render(read_file(m_template), fields);
        const auto log = m_folder + "/" + name + ".log";
        pid = ::fork();
        if (pid == 0) {
            // Ends with the test, also if the test is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/damaskladder", "target/damaskladder", "run", settings.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    void signal(int number) const { ::kill(pid, number); }

    /// Waits for the exit; -1 if the process still runs at the end of the time.
    int wait_exit(double timeout_s)
    {
        const double end = now_s() + timeout_s;
        int status = 0;
        while (::waitpid(pid, &status, WNOHANG) == 0) {
            if (now_s() >= end) {
                return -1;
            }
            sleep_s(0.005);
        }
        pid = -1;
        return status;
    }

    void kill()
    {
        if (pid > 0) {
            signal(SIGKILL);
            ::waitpid(pid, nullptr, 0);
            pid = -1;
        }
    }

    std::string ip() const { return fields.at("ip"); }
    static int port_of(const std::string& address)
    {
        return std::atoi(address.c_str() + address.find(':') + 1);
    }
    int port(const std::string& listen) const { return port_of(fields.at("listen." + listen)); }

    const std::string name;
    values fields;
    pid_t pid = -1;

private:
    std::string m_template;
    std::string m_folder;
};

/// A small deployment on loopback addresses: control machines in three zones and sidecars.
class fleet {
public:
    explicit fleet(recorder& record) : m_record(record)
    {
        char name[] = "/tmp/damaskladder-review-XXXXXX";
        m_folder = ::mkdtemp(name);
        // Each test has its own part of the loopback network, so that its ports are free.
        const int part = static_cast<int>(::getpid());
        m_net =
            "127." + std::to_string(20 + part % 200) + "." + std::to_string(part / 200 % 250) + ".";
    }
    ~fleet()
    {
        for (auto& each : machines) {
            each->kill();
        }
        if (std::getenv("KEEP") == nullptr) {
            const auto remove = "rm -rf '" + m_folder + "'";
            [[maybe_unused]] const int code = std::system(remove.c_str());
        }
        else {
            std::printf("kept %s\n", m_folder.c_str());
        }
    }

    void add_core(int count)
    {
        for (int i = 0; i < count; ++i) {
            auto fields = common("core-" + std::to_string(i + 1), i);
            fields["data_dir"] = m_folder + "/data-" + std::to_string(i + 1);
            ::mkdir(fields["data_dir"].c_str(), 0700);
            machines.push_back(std::make_unique<machine>(fields["node_name"], "deploy/replica.ini",
                                                         fields, m_folder));
            core.push_back(machines.back().get());
        }
        std::string seeds;
        for (int i = 0; i < count && i < 3; ++i) {
            seeds += (i == 0 ? "" : ",") + core[i]->fields["listen.control"];
        }
        m_seeds = seeds;
        for (auto* each : core) {
            each->fields["seed_nodes"] = seeds;
        }
    }

    machine& add_sidecar(const std::string& service, int zone)
    {
        auto fields = common("sidecar-" + std::to_string(sidecars.size() + 1), zone);
        fields["service"] = service;
        fields["seed_nodes"] = m_seeds;
        fields["app_addr"] = fields["ip"] + ":8547";
        machines.push_back(
            std::make_unique<machine>(fields["node_name"], "deploy/node.ini", fields, m_folder));
        sidecars.push_back(machines.back().get());
        return *sidecars.back();
    }

    /// Ends the test with 2 if a port of a machine is in use.
    void check_ports() const
    {
        for (const auto& each : machines) {
            for (const int port : {7000, 7001, 7002, 7003, 8540, 8543, 8546, 8548}) {
                const connection probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
                if (!probe.binds(each->ip(), port)) {
                    m_record.line("exit code 2: port " + std::to_string(port) + " is in use");
                    std::exit(could_not_run);
                }
            }
        }
    }

    /// Whether all processes run.
    bool all_run()
    {
        bool all = true;
        for (const auto& each : machines) {
            all = all && each->pid > 0 && ::waitpid(each->pid, nullptr, WNOHANG) == 0;
        }
        return all;
    }

    void start_all()
    {
        check_ports();
        for (auto& each : machines) {
            each->start();
        }
        // Later starts are not the first start of the whole system.
        for (auto& each : machines) {
            each->fields["bootstrap"] = "false";
        }
    }

    /// Leaves the machine with an empty data folder.
    void empty_disk(const machine& each)
    {
        const auto& folder = each.fields.at("data_dir");
        const auto command = "rm -rf '" + folder + "'";
        if (std::system(command.c_str()) != 0 || ::mkdir(folder.c_str(), 0700) != 0) {
            std::perror("empty the data folder");
            std::exit(could_not_run);
        }
    }

    /// Sends a call to a machine and reads its answer; status 0 if there is none.
    static http_message call(const std::string& ip, int port, const std::string& head,
                             const std::string& body, double timeout_s = 1.0)
    {
        connection to;
        if (!to.open(ip, port, timeout_s) ||
            !to.send(head + "Host: " + ip +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return {};
        }
        return to.read_message(timeout_s).value_or(http_message());
    }

    /// Sends a config as the operator does: again after no clear answer, at another machine, and
    /// with redirects followed twice. Returns the status of the clear answer, 0 if there is none.
    int put_config(const std::string& base, const std::string& body, double timeout_s)
    {
        const double end = now_s() + timeout_s;
        // Begins with the machine that acknowledged last.
        for (std::size_t turn = m_last_acknowledged; now_s() < end; ++turn) {
            std::string ip = core[turn % core.size()]->ip();
            int port = core[turn % core.size()]->port("control");
            for (int hop = 0; hop < 3; ++hop) {
                const auto answer =
                    call(ip, port,
                         "POST /damaskladder/config/put HTTP/1.1\r\nBase-Version: " + base + "\r\n",
                         body);
                const int status = answer.status();
                if (status == 307) {
                    const auto location = answer.field("Location").substr(7);
                    ip = location.substr(0, location.find(':'));
                    port = machine::port_of(location);
                    continue;
                }
                m_record.line("operator: put on " + base + " at " + ip + " answered " +
                              std::to_string(status));
                for (std::size_t i = 0; status == 200 && i < core.size(); ++i) {
                    m_last_acknowledged = core[i]->ip() == ip ? i : m_last_acknowledged;
                }
                if (status == 200 || status == 400 || status == 409 || status == 412 ||
                    status == 413 || status == 422) {
                    return status;
                }
                break;
            }
            sleep_s(0.2);
        }
        return 0;
    }

    /// Asks as the platform does; a node is ready once it answers 200.
    bool ready(const machine& node)
    {
        return call(node.ip(), node.port("ready"), "GET /damaskladder/ready HTTP/1.1\r\n", "")
                   .status() == 200;
    }

    bool wait_ready(double timeout_s)
    {
        const double end = now_s() + timeout_s;
        for (auto* each : sidecars) {
            while (!ready(*each)) {
                if (now_s() >= end) {
                    return false;
                }
                sleep_s(0.1);
            }
        }
        return true;
    }

    /// One heartbeat or deregistration of a server at its own node.
    int report(const machine& node, const server& who, const std::string& verb,
               const std::string& state, std::uint64_t born, std::uint64_t sequence)
    {
        const std::string body = "{\"service\":\"" + who.service + "\",\"address\":\"" +
                                 who.address() + "\",\"zone\":\"" + node.fields.at("zone") +
                                 "\",\"version\":\"v1\",\"slots\":45,\"state\":\"" + state +
                                 "\",\"cold_left_s\":0,\"born\":" + std::to_string(born) +
                                 ",\"sequence\":" + std::to_string(sequence) + "}";
        const int status =
            call(node.ip(), node.port("control"),
                 "POST /damaskladder/instances/" + who.id + "/" + verb + " HTTP/1.1\r\n", body)
                .status();
        m_record.line("server " + who.id + " says " + verb + " " + state + " sequence " +
                      std::to_string(sequence) + ", answered " + std::to_string(status));
        return status;
    }

    std::vector<std::unique_ptr<machine>> machines;
    std::vector<machine*> core;
    std::vector<machine*> sidecars;

private:
    values common(const std::string& name, int zone)
    {
        const std::string ip = m_net + std::to_string(machines.size() + 1);
        return {{"node_name", name},
                {"ip", ip},
                {"zone", "zone-" + std::to_string(zone % 3 + 1)},
                {"internal_ports.0", "7000"},
                {"listen.outbound", ip + ":8548"},
                {"listen.inbound", ip + ":8543"},
                {"listen.ready", ip + ":8546"},
                {"listen.control", ip + ":8540"},
                {"bootstrap", "true"},
                {"heartbeat_s", "1.5"},
                {"fault_tolerance.nodes", "1"},
                {"contract_bounds.grace_s", "6"},
                {"contract_bounds.revoke_s", "5"},
                {"contract_bounds.retry_budget_ratio", "0.2"}};
    }

    recorder& m_record;
    std::string m_folder;
    std::string m_net;
    std::string m_seeds;
    std::size_t m_last_acknowledged = 0;
};

inline std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

/// Whether the disruption is wanted.
inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// A public route to one service, as an entry of the config.
inline std::string route(const std::string& name, const std::string& prefix,
                         const std::string& type, const std::string& service, double timeout_s)
{
    return "\"" + name + "\":{\"host\":\"shop.example\",\"path_prefix\":\"" + prefix +
           "\",\"route_type\":\"" + type + "\",\"timeout_s\":" + std::to_string(timeout_s) +
           ",\"target_latency_s\":1,\"priority\":0,\"service\":\"" + service +
           "\",\"max_attempts\":2,\"public\":true}";
}

/// A whole config with the given entries of `routes`.
inline std::string config(const std::string& version, const std::string& routes,
                          const std::vector<std::string>& services)
{
    std::string table;
    for (const auto& service : services) {
        table += (table.empty() ? "\"" : ",\"") + service +
                 "\":{\"health_path\":\"/health\",\"max_connections\":370,"
                 "\"protocol\":\"h1\",\"tls\":false}";
    }
    return "{\"version\":\"" + version + "\",\"routes\":{" + routes + "},\"services\":{" + table +
           "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
           "\"header_timeout_s\":3,\"idle_timeout_s\":15}}";
}

/// Head of a client's request.
inline std::string request_head(const std::string& method, const std::string& path,
                                const std::string& id, int deadline_ms)
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n\r\n";
}

/// Regular heartbeats of a server, until it is stopped.
class heartbeats {
public:
    heartbeats(fleet& system, const machine& node, const server& who)
        : born(unix_ms()), m_thread([this, &system, &node, &who] {
              while (!m_stopped) {
                  system.report(node, who, "heartbeat", "ready", born, ++sequence);
                  for (int i = 0; i < 30 && !m_stopped; ++i) {
                      sleep_s(0.05);
                  }
              }
          })
    {
    }
    ~heartbeats() { stop(); }

    void stop()
    {
        m_stopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    const std::uint64_t born;
    std::atomic<std::uint64_t> sequence = 0;

private:
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

} // namespace review
