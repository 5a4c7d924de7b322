#pragma once

// A small deployment on loopback addresses for the cases of this review: the project's own programs
// as separate processes, started with the command of the deploy file, and stand-ins of the
// platform, the operator, workers and clients. Each VM is one address of 127.0.0.0/8; ports are the
// same on all.

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

struct machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    bool core = false;
    pid_t pid = -1;
};

struct ports {
    int outbound = 0;
    int inbound = 0;
    int ready = 0;
    int control = 0;
    int worker = 0;
    int internal = 0;
};

/// Seconds since the start of the case.
double now();
void pause(double seconds);
std::string random_hex(int digits);

/// Writes a line with the time to record.txt in the folder of the case.
void record(const std::string& line);
void open_record(const std::string& folder);

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
[[noreturn]] void finish(int code, const std::string& why);
/// Process ids of all children that were started; killed by finish().
void track(pid_t child);
void untrack(pid_t child);

/// To be called by a child process: it ends when the thread that started it does.
void end_with_parent();

bool trouble();

class fleet {
public:
    /// `services` names the service of each sidecar; zones are assigned in turn.
    fleet(const std::vector<std::string>& services, int cores);

    std::vector<machine>& machines() { return m_machines; }
    machine& sidecar(std::size_t index) { return m_machines[m_cores + index]; }
    machine& core(std::size_t index) { return m_machines[index]; }
    std::size_t cores() const { return m_cores; }
    std::size_t sidecars() const { return m_machines.size() - m_cores; }
    const ports& port() const { return m_ports; }
    const std::string& folder() const { return m_folder; }

    void start_all();
    void start(machine& vm, bool bootstrap);
    void signal(const machine& vm, int number) const;
    /// Kills the process and waits for its end.
    void kill(machine& vm);
    /// The seeds that the next start of a process is told.
    void set_seeds(std::vector<std::string> ips) { m_seeds = std::move(ips); }

private:
    std::string settings_of(const machine& vm, bool bootstrap) const;

    std::size_t m_cores;
    ports m_ports;
    std::string m_folder;
    std::vector<machine> m_machines;
    std::vector<std::string> m_seeds;
};

/// Connects to ip:port from the given local address; -1 on failure.
int connect_to(const std::string& ip, int port, double seconds, const std::string& from = {});
/// Returns a listening socket, or -1.
int listen_on(const std::string& ip, int port, int receive_buffer = 0);
bool send_all(int fd, const std::string& bytes);

struct answer {
    int status = 0; // 0: none
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the message ended as HTTP/1.1 demands: length reached, last chunk, or a clean end of
    /// the connection where neither is given.
    bool complete = false;
    std::string end;
    std::string raw;
};

/// Reads one response; stops at the end of it, or after `seconds`.
answer read_answer(int fd, double seconds);
/// Sends one request on a new connection and reads the response.
answer call(const std::string& ip, int port, const std::string& request, double seconds,
            const std::string& from = {});
std::string header_of(const std::string& head, const std::string& name);

/// The operator: sends the order to the core machines in turn, follows redirects, and repeats it
/// after failures, for at most `seconds`. Returns the last clear status, 0 for none.
struct operator_result {
    int status = 0;
    std::string body;
    std::string from;
};
operator_result put_config(fleet& vms, const std::string& body, unsigned base, double seconds);
operator_result get_config(fleet& vms, double seconds, std::size_t first = 0);
/// A single request of the operator to one address, following up to two redirects.
operator_result operator_call(fleet& vms, const std::string& ip, const std::string& method,
                              const std::string& path, const std::string& headers,
                              const std::string& body, double seconds);
std::string version_text(unsigned version);

/// A worker's message to the control address of its own VM: `verb` is heartbeat or deregister.
answer beat(const fleet& vms, const machine& vm, const std::string& id, const std::string& verb,
            const std::string& state, int slots, std::uint64_t sequence, std::uint64_t born,
            double seconds = 1.0);
std::uint64_t unix_ms();

/// Waits until the check is true; false after `seconds`.
bool wait_until(double seconds, const std::function<bool()>& check);
/// Whether /damaskladder/ready of the VM answers 200.
bool is_ready(const fleet& vms, const machine& vm);

} // namespace review
