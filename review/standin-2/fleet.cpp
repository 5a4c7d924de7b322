#include "fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace review {

namespace {

const auto start_of_case = std::chrono::steady_clock::now();
int record_fd = -1;
std::mutex tracked_mutex;
std::set<pid_t> tracked;
std::string work_folder;
const pid_t main_process = getpid();
/// A case runs for 120 s at most.
constexpr double longest_run_s = 112;

std::mt19937_64& engine()
{
    static thread_local std::mt19937_64 made{std::random_device{}()};
    return made;
}

std::string read_file(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void replace(std::string& text, const std::string& from, const std::string& to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
        text.replace(at, from.size(), to);
    }
}

/// Renders the section {{#name}}..{{/name}} once with `value` for {{.}}, or removes it; the other
/// way round for {{^name}}.
void render_section(std::string& text, const std::string& name, const std::string& value)
{
    for (const bool inverse : {false, true}) {
        const std::string open = std::string("{{") + (inverse ? "^" : "#") + name + "}}";
        const std::string close = "{{/" + name + "}}";
        const auto first = text.find(open);
        if (first == std::string::npos) {
            continue;
        }
        const auto last = text.find(close, first);
        std::string inner = text.substr(first + open.size(), last - first - open.size());
        replace(inner, "{{.}}", value);
        const bool shown = inverse == value.empty();
        text.replace(first, last + close.size() - first, shown ? inner : "");
    }
}

bool port_is_free(const std::string& ip, int port)
{
    const int fd = listen_on(ip, port);
    if (fd < 0) {
        return false;
    }
    close(fd);
    return true;
}

std::string lower(std::string text)
{
    for (auto& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_of_case).count();
}

void pause(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string random_hex(int digits)
{
    static const char* const digit = "0123456789abcdef";
    std::string text;
    for (int i = 0; i < digits; ++i) {
        text += digit[engine()() % 16];
    }
    return text;
}

void open_record(const std::string& folder)
{
    record_fd = open((folder + "/record.txt").c_str(),
                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
}

void record(const std::string& line)
{
    char when[32];
    std::snprintf(when, sizeof when, "%8.3f ", now());
    const std::string text = when + line + "\n";
    if (write(record_fd, text.data(), text.size()) < 0) {
        std::perror("record");
    }
}

void track(pid_t child)
{
    const std::lock_guard lock(tracked_mutex);
    tracked.insert(child);
}

void untrack(pid_t child)
{
    const std::lock_guard lock(tracked_mutex);
    tracked.erase(child);
}

void end_with_parent()
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void finish(int code, const std::string& why)
{
    if (getpid() != main_process) {
        _exit(code);
    }
    record(std::string(code == 0 ? "HELD: " : code == 1 ? "BROKEN: " : "NOT RUN: ") + why);
    std::printf("%s\n", why.c_str());
    std::fflush(stdout);
    {
        const std::lock_guard lock(tracked_mutex);
        for (const pid_t child : tracked) {
            ::kill(child, SIGCONT);
            ::kill(child, SIGKILL);
        }
        for (const pid_t child : tracked) {
            waitpid(child, nullptr, 0);
        }
    }
    if (!work_folder.empty()) {
        if (const char* keep = std::getenv("KEEP_LOGS")) {
            std::filesystem::copy(work_folder, keep,
                                  std::filesystem::copy_options::recursive |
                                      std::filesystem::copy_options::overwrite_existing);
        }
        std::filesystem::remove_all(work_folder);
    }
    _exit(code);
}

bool trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

fleet::fleet(const std::vector<std::string>& services, int cores)
    : m_cores(static_cast<std::size_t>(cores))
{
    std::signal(SIGPIPE, SIG_IGN);
    std::thread([] {
        pause(longest_run_s);
        finish(2, "out of time");
    }).detach();
    char pattern[] = "/tmp/review-2-XXXXXX";
    const char* made = mkdtemp(pattern);
    if (made == nullptr) {
        finish(2, "no temporary folder");
    }
    m_folder = made;
    work_folder = m_folder;
    const std::string net = "127." + std::to_string(10 + engine()() % 200) + "." +
                            std::to_string(1 + engine()() % 250) + ".";
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    int host = 10;
    for (int i = 0; i < cores; ++i) {
        m_machines.push_back({"core-" + std::to_string(i), net + std::to_string(host++),
                              zones[static_cast<std::size_t>(i) % 3], "", true});
    }
    for (std::size_t i = 0; i < services.size(); ++i) {
        m_machines.push_back({"sidecar-" + std::to_string(i), net + std::to_string(host++),
                              zones[i % 3], services[i], false});
    }
    for (int tries = 0;; ++tries) {
        const int base = 20000 + static_cast<int>(engine()() % 10000);
        m_ports = {base, base + 1, base + 2, base + 3, base + 4, base + 10};
        bool free = true;
        for (const auto& vm : m_machines) {
            for (const int port : {base, base + 1, base + 2, base + 3, base + 4, base + 10,
                                   base + 11, base + 12, base + 13}) {
                free = free && port_is_free(vm.ip, port);
            }
        }
        if (free) {
            break;
        }
        if (tries > 50) {
            finish(2, "no free ports");
        }
    }
    for (int i = 0; i < cores && i < 3; ++i) {
        m_seeds.push_back(m_machines[static_cast<std::size_t>(i)].ip);
    }
}

std::string fleet::settings_of(const machine& vm, bool bootstrap) const
{
    std::string text = read_file(vm.core ? "deploy/replica.ini" : "deploy/node.ini");
    if (text.empty()) {
        finish(2, "no template in deploy/; start the case in the repository's root");
    }
    std::string seeds;
    for (const auto& seed : m_seeds) {
        seeds += (seeds.empty() ? "" : ",") + seed + ":" + std::to_string(m_ports.control);
    }
    const auto at = [&](int port) { return vm.ip + ":" + std::to_string(port); };
    render_section(text, "bootstrap", bootstrap ? "true" : "");
    render_section(text, "fault_tolerance.nodes", "1");
    render_section(text, "contract_bounds.revoke_s", "5");
    render_section(text, "contract_bounds.cold_overage", "");
    render_section(text, "contract_bounds.cold_slack", "");
    replace(text, "{{#zones}}{{@}}{{,}} {{/zones}}", "zone-a, zone-b, zone-c");
    replace(text, "{{ip}}:7001", at(m_ports.internal + 1));
    replace(text, "{{ip}}:7002", at(m_ports.internal + 2));
    replace(text, "{{ip}}:7003", at(m_ports.internal + 3));
    replace(text, "{{ip}}", vm.ip);
    replace(text, "{{zone}}", vm.zone);
    replace(text, "{{service}}", vm.service);
    replace(text, "{{seed_nodes}}", seeds);
    replace(text, "{{internal_ports.0}}", std::to_string(m_ports.internal));
    replace(text, "{{listen.outbound}}", at(m_ports.outbound));
    replace(text, "{{listen.inbound}}", at(m_ports.inbound));
    replace(text, "{{listen.control}}", at(m_ports.control));
    replace(text, "{{listen.ready}}", at(m_ports.ready));
    replace(text, "{{contract_bounds.retry_budget_ratio}}", "0.2");
    replace(text, "{{contract_bounds.grace_s}}", "6");
    replace(text, "{{heartbeat_s}}", "1.5");
    replace(text, "{{data_dir}}", m_folder + "/data-" + vm.name);
    if (text.find("{{") != std::string::npos) {
        finish(2, "a placeholder of " + std::string(vm.core ? "replica" : "node") +
                      ".ini is not known to this case");
    }
    return text;
}

void fleet::start(machine& vm, bool bootstrap)
{
    const std::string file = m_folder + "/" + vm.name + ".ini";
    std::ofstream(file) << settings_of(vm, bootstrap);
    if (vm.core) {
        std::filesystem::create_directories(m_folder + "/data-" + vm.name);
    }
    const std::string log = m_folder + "/" + vm.name + ".log";
    const pid_t child = fork();
    if (child == 0) {
        end_with_parent();
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        execl("target/damaskladder", "target/damaskladder", "run", file.c_str(),
              static_cast<char*>(nullptr));
        _exit(127);
    }
    vm.pid = child;
    track(child);
    record("start " + vm.name + " " + vm.ip + (bootstrap ? " (first start)" : ""));
}

void fleet::start_all()
{
    for (auto& vm : m_machines) {
        start(vm, true);
    }
}

void fleet::signal(const machine& vm, int number) const
{
    record("signal " + std::to_string(number) + " to " + vm.name);
    ::kill(vm.pid, number);
}

void fleet::kill(machine& vm)
{
    signal(vm, SIGKILL);
    waitpid(vm.pid, nullptr, 0);
    untrack(vm.pid);
    vm.pid = -1;
}

int connect_to(const std::string& ip, int port, double seconds, const std::string& from)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    if (!from.empty()) {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        inet_pton(AF_INET, from.c_str(), &local.sin_addr);
        bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof local);
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &peer.sin_addr);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof peer) != 0) {
        pollfd ready{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&ready, 1, static_cast<int>(seconds * 1000)) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, 0);
    return fd;
}

int listen_on(const std::string& ip, int port, int receive_buffer)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &bound.sin_addr);
    if (bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof bound) != 0 || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool send_all(int fd, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto sent = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

std::string header_of(const std::string& head, const std::string& name)
{
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon != std::string::npos && lower(line.substr(0, colon)) == lower(name)) {
            auto value = line.substr(colon + 1);
            while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
                value.pop_back();
            }
            const auto first = value.find_first_not_of(' ');
            return first == std::string::npos ? "" : value.substr(first);
        }
    }
    return {};
}

answer read_answer(int fd, double seconds)
{
    answer result;
    std::string& in = result.raw;
    const double until = now() + seconds;
    bool ended = false;
    const auto more = [&] {
        pollfd ready{fd, POLLIN, 0};
        const int wait = static_cast<int>((until - now()) * 1000);
        if (ended || wait <= 0 || poll(&ready, 1, wait) != 1) {
            result.end = ended ? result.end : "time out";
            return false;
        }
        char buffer[65536];
        const auto got = recv(fd, buffer, sizeof buffer, 0);
        if (got > 0) {
            in.append(buffer, static_cast<std::size_t>(got));
            return true;
        }
        ended = true;
        result.end = got == 0 ? "closed" : "reset";
        return false;
    };
    std::size_t body = 0;
    for (;;) {
        std::size_t end = 0;
        while ((end = in.find("\r\n\r\n", body)) == std::string::npos) {
            if (!more()) {
                return result;
            }
        }
        const auto head = in.substr(body, end + 2 - body);
        body = end + 4;
        result.status = head.size() > 12 ? std::atoi(head.c_str() + 9) : 0;
        if (result.status >= 200 || result.status == 0) {
            std::istringstream lines(head);
            std::string line;
            std::getline(lines, line);
            while (std::getline(lines, line)) {
                const auto colon = line.find(':');
                if (colon != std::string::npos) {
                    const auto name = lower(line.substr(0, colon));
                    result.headers[name] = header_of(head, name);
                }
            }
            break;
        }
    }
    const auto length = result.headers.find("content-length");
    if (lower(result.headers["transfer-encoding"]) == "chunked") {
        std::size_t at = body;
        for (;;) {
            std::size_t line = 0;
            while ((line = in.find("\r\n", at)) == std::string::npos) {
                if (!more()) {
                    return result;
                }
            }
            const auto size = std::strtoul(in.c_str() + at, nullptr, 16);
            while (in.size() < line + 2 + size + 2) {
                if (!more()) {
                    result.body += in.substr(line + 2);
                    return result;
                }
            }
            result.body += in.substr(line + 2, size);
            at = line + 2 + size + 2;
            if (size == 0) {
                result.complete = true;
                return result;
            }
        }
    }
    if (length != result.headers.end()) {
        const auto size = std::strtoul(length->second.c_str(), nullptr, 10);
        while (in.size() < body + size) {
            if (!more()) {
                result.body = in.substr(body);
                return result;
            }
        }
        result.body = in.substr(body, size);
        result.complete = true;
        return result;
    }
    while (more()) {
    }
    result.body = in.substr(body);
    result.complete = result.end == "closed";
    return result;
}

answer call(const std::string& ip, int port, const std::string& request, double seconds,
            const std::string& from)
{
    const int fd = connect_to(ip, port, 1.0, from);
    if (fd < 0) {
        answer none;
        none.end = "no connection";
        return none;
    }
    const bool sent = send_all(fd, request);
    answer result;
    if (sent) {
        result = read_answer(fd, seconds);
    }
    close(fd);
    return result;
}

std::string version_text(unsigned version)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    return text;
}

operator_result operator_call(fleet& vms, const std::string& ip, const std::string& method,
                              const std::string& path, const std::string& headers,
                              const std::string& body, double seconds)
{
    std::string at = ip;
    int port = vms.port().control;
    for (int redirects = 0; redirects < 3; ++redirects) {
        std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + at + "\r\n" + headers;
        if (method == "POST") {
            request +=
                "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n";
        }
        const auto got = call(at, port, request + "\r\n" + body, seconds);
        if (!got.complete) {
            return {0, {}, at};
        }
        if (got.status != 307) {
            return {got.status, got.body, at};
        }
        const auto found = got.headers.find("location");
        if (found == got.headers.end()) {
            return {got.status, {}, at};
        }
        const auto rest = found->second.substr(std::strlen("http://"));
        at = rest.substr(0, rest.find(':'));
        port = std::atoi(rest.c_str() + rest.find(':') + 1);
    }
    return {307, {}, at};
}

operator_result put_config(fleet& vms, const std::string& body, unsigned base, double seconds)
{
    const double until = now() + seconds;
    operator_result last;
    for (std::size_t i = 0; now() < until; ++i) {
        last = operator_call(vms, vms.core(i % vms.cores()).ip, "POST", "/damaskladder/config/put",
                             "Base-Version: " + version_text(base) + "\r\n", body, 1.0);
        if (last.status == 200 || (last.status >= 400 && last.status < 500)) {
            record("config on " + version_text(base) + ": " + std::to_string(last.status) + " by " +
                   last.from);
            return last;
        }
        pause(0.1);
    }
    record("config on " + version_text(base) + ": no clear answer");
    last.status = 0;
    return last;
}

operator_result get_config(fleet& vms, double seconds, std::size_t first)
{
    const double until = now() + seconds;
    for (std::size_t i = first; now() < until; ++i) {
        const auto got = operator_call(vms, vms.core(i % vms.cores()).ip, "GET",
                                       "/damaskladder/config/get", "", "", 1.0);
        if (got.status == 200) {
            return got;
        }
        pause(0.05);
    }
    return {};
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

answer beat(const fleet& vms, const machine& vm, const std::string& id, const std::string& verb,
            const std::string& state, int slots, std::uint64_t sequence, std::uint64_t born,
            double seconds)
{
    std::string body;
    if (verb == "heartbeat") {
        body = "{\"service\":\"" + vm.service + "\",\"address\":\"" + vm.ip + ":" +
               std::to_string(vms.port().worker) + "\",\"zone\":\"" + vm.zone +
               "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" +
               state + "\",\"cold_left_s\":0,\"sequence\":" + std::to_string(sequence) +
               ",\"born\":" + std::to_string(born) + "}";
    }
    else {
        body =
            "{\"sequence\":" + std::to_string(sequence) + ",\"born\":" + std::to_string(born) + "}";
    }
    return call(vm.ip, vms.port().control,
                "POST /damaskladder/instances/" + id + "/" + verb + " HTTP/1.1\r\nHost: " + vm.ip +
                    "\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body,
                seconds);
}

bool wait_until(double seconds, const std::function<bool()>& check)
{
    const double until = now() + seconds;
    while (now() < until) {
        if (check()) {
            return true;
        }
        pause(0.1);
    }
    return false;
}

bool is_ready(const fleet& vms, const machine& vm)
{
    return call(vm.ip, vms.port().ready,
                "GET /damaskladder/ready HTTP/1.1\r\nHost: " + vm.ip +
                    "\r\nConnection: close\r\n\r\n",
                1.0)
               .status == 200;
}

} // namespace review
