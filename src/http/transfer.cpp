#include "http/transfer.hpp"

#include "http/client.hpp"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace damaskladder::http {

namespace {

std::string_view trim_line(std::string_view line)
{
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r' || line.back() == ' ')) {
        line.remove_suffix(1);
    }
    while (!line.empty() && (line.front() == ' ' || line.front() == '\t')) {
        line.remove_prefix(1);
    }
    return line;
}

int parse_status(std::string_view line)
{
    const auto space = line.find(' ');
    int status = 0;
    if (space != std::string_view::npos) {
        std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
    }
    return status;
}

} // namespace

/// C callbacks of libcurl's easy interface, which pass `cls` = transfer.
struct transfer_callbacks {
    // Runs when a connection is ready, before the request is sent on it. A second call for one
    // transfer means that libcurl is about to send the request again by itself, which it does when
    // a kept connection closed without an answer: the request may have run already.
    static int before_request(void* cls, char*, char*, int, int)
    {
        auto* self = static_cast<transfer*>(cls);
        if (self->m_may_have_sent) {
            self->m_resend_suppressed = true;
            return CURL_PREREQFUNC_ABORT;
        }
        self->m_may_have_sent = true;
        if (self->m_hooks.on_connected) {
            self->m_hooks.on_connected();
        }
        return CURL_PREREQFUNC_OK;
    }

    static int socket_made(void* cls, curl_socket_t fd, curlsocktype)
    {
        const auto* self = static_cast<transfer*>(cls);
        if (self->m_request.unacknowledged_timeout <= base::duration::zero()) {
            return CURL_SOCKOPT_OK;
        }
        const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
            self->m_request.unacknowledged_timeout);
        const auto ms = static_cast<unsigned>(limit.count());
        // Without the option the connection works all the same, only its loss is seen late.
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
        return CURL_SOCKOPT_OK;
    }

    static std::size_t header_line(char* data, std::size_t, std::size_t size, void* cls)
    {
        auto* self = static_cast<transfer*>(cls);
        const auto line = trim_line(std::string_view(data, size));
        if (line.substr(0, 5) == "HTTP/") {
            self->m_head = response_head{};
            self->m_head.status = parse_status(line);
        }
        else if (line.empty()) {
            head_complete(*self);
        }
        else if (!self->m_head_done) {
            const auto colon = line.find(':');
            if (colon != std::string_view::npos) {
                self->m_head.headers.add(std::string(line.substr(0, colon)),
                                         std::string(trim_line(line.substr(colon + 1))));
            }
        }
        return size;
    }

    static void head_complete(transfer& self)
    {
        constexpr int first_final_status = 200;
        if (self.m_head_done || self.m_head.status < first_final_status) {
            return;
        }
        self.m_head_done = true;
        if (const auto* length = self.m_head.headers.find("Content-Length")) {
            std::int64_t size = 0;
            std::from_chars(length->data(), length->data() + length->size(), size);
            self.m_head.body_size = base::byte_count(size);
        }
        const auto keep = self.shared_from_this();
        if (self.m_hooks.on_head && !self.m_cancelling) {
            self.m_hooks.on_head(self.m_head);
        }
    }

    static std::size_t body_bytes(char* data, std::size_t, std::size_t size, void* cls)
    {
        auto* self = static_cast<transfer*>(cls);
        const auto keep = self->shared_from_this();
        const bool wanted = self->m_hooks.on_body && !self->m_cancelling;
        if (wanted && !self->m_hooks.on_body(std::string_view(data, size))) {
            return CURL_WRITEFUNC_PAUSE;
        }
        return size;
    }

    static std::size_t read_body(char* out, std::size_t, std::size_t size, void* cls)
    {
        auto* self = static_cast<transfer*>(cls);
        const auto keep = self->shared_from_this();
        const auto got = self->m_hooks.read_body ? self->m_hooks.read_body(out, size) : 0;
        if (got == 0 && self->m_hooks.body_pending && self->m_hooks.body_pending()) {
            return CURL_READFUNC_PAUSE;
        }
        return got;
    }
};

transfer::transfer(client& owner, client_request request, hooks calls)
    : m_client(owner),
      m_request(std::move(request)),
      m_hooks(std::move(calls)),
      m_easy(owner.take_handle())
{
}

transfer::~transfer()
{
    if (m_easy != nullptr) {
        curl_easy_cleanup(m_easy);
    }
    curl_slist_free_all(static_cast<curl_slist*>(m_header_list));
}

void* transfer::make_handle()
{
    void* easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, transfer_callbacks::before_request);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, transfer_callbacks::header_line);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, transfer_callbacks::body_bytes);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, transfer_callbacks::read_body);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, transfer_callbacks::socket_made);
    return easy;
}

void transfer::start()
{
    const auto url = "http://" + to_string(m_request.to) + m_request.head.target;
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_READDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_SOCKOPTDATA, this);
    const auto to_ms = [](base::duration time) {
        return static_cast<long>(
            std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    };
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, to_ms(m_request.connect_timeout));
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, to_ms(m_request.timeout));
    const long fresh = m_request.fresh_connection ? 1 : 0;
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, fresh);
    curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, fresh);
    set_request_body();
    set_headers();
}

void transfer::set_request_body()
{
    const auto& head = m_request.head;
    // Takes back what an earlier transfer of the handle set.
    curl_easy_setopt(m_easy, CURLOPT_HTTPGET, 1L);
    if (head.method == "HEAD") {
        curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, nullptr);
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
        return;
    }
    const bool has_body = !head.body_size || head.body_size->value() > 0;
    if (has_body) {
        constexpr curl_off_t unknown_size = -1;
        curl_easy_setopt(m_easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(m_easy, CURLOPT_INFILESIZE_LARGE,
                         head.body_size ? static_cast<curl_off_t>(head.body_size->value())
                                        : unknown_size);
    }
    else if (head.method == "POST" || head.method == "PUT" || head.method == "PATCH") {
        curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, "");
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t{0});
    }
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, head.method.c_str());
}

void transfer::set_headers()
{
    curl_slist* list = nullptr;
    const auto append = [&](const std::string& line) {
        list = curl_slist_append(list, line.c_str());
    };
    for (const auto& field : m_request.head.headers) {
        // libcurl drops a field with an empty value unless it is written with a semicolon.
        append(field.value.empty() ? field.name + ";" : field.name + ": " + field.value);
    }
    for (const std::string name : {"Accept", "Content-Type"}) {
        if (m_request.head.headers.find(name) == nullptr) {
            append(name + ":");
        }
    }
    // Without this libcurl waits up to 1 s for an interim answer before it sends a larger body.
    append("Expect:");
    m_header_list = list;
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, list);
}

void transfer::resume()
{
    if (!m_ended) {
        const auto keep = shared_from_this();
        ++m_client.m_in_curl;
        curl_easy_pause(m_easy, CURLPAUSE_CONT);
        --m_client.m_in_curl;
    }
}

void transfer::cancel()
{
    if (m_client.m_in_curl != 0) {
        // A hook may be running; it must keep what it captured until it returns.
        m_cancelling = true;
        m_client.defer([self = shared_from_this()] { self->cancel(); });
        return;
    }
    end({m_may_have_sent ? transfer_end::kind::cancelled : transfer_end::kind::not_sent,
         "cancelled"});
}

void transfer::end(const transfer_end& how)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    const auto keep = shared_from_this();
    m_client.remove(*this);
    const auto calls = std::move(m_hooks);
    m_hooks = {};
    if (calls.on_end) {
        calls.on_end(how);
    }
}

} // namespace damaskladder::http
