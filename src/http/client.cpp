#include "http/client.hpp"

#include <curl/curl.h>
#include <sys/epoll.h>

#include <utility>

namespace damaskladder::http {

namespace {

constexpr long max_kept_connections = 512;
// A handle has some kilobytes; making one and setting its options costs a tenth of a transfer.
constexpr std::size_t max_free_handles = 64;

std::uint32_t to_epoll(int what)
{
    std::uint32_t events = 0;
    if (what == CURL_POLL_IN || what == CURL_POLL_INOUT) {
        events |= EPOLLIN;
    }
    if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT) {
        events |= EPOLLOUT;
    }
    return events;
}

int to_curl(std::uint32_t events)
{
    int flags = 0;
    if ((events & static_cast<std::uint32_t>(EPOLLIN)) != 0) {
        flags |= CURL_CSELECT_IN;
    }
    if ((events & static_cast<std::uint32_t>(EPOLLOUT)) != 0) {
        flags |= CURL_CSELECT_OUT;
    }
    if ((events & static_cast<std::uint32_t>(EPOLLERR | EPOLLHUP)) != 0) {
        flags |= CURL_CSELECT_ERR;
    }
    return flags;
}

} // namespace

/// C callbacks of libcurl's multi interface, which pass `cls` = client.
struct client_callbacks {
    static int socket_changed(CURL*, curl_socket_t fd, int what, void* cls, void*)
    {
        auto* self = static_cast<client*>(cls);
        if (what == CURL_POLL_REMOVE) {
            self->m_loop.unwatch(fd);
        }
        else {
            self->m_loop.watch(fd, to_epoll(what), [self, fd](std::uint32_t events) {
                self->socket_ready(fd, to_curl(events));
            });
        }
        return 0;
    }

    static int timer_changed(CURLM*, long timeout_ms, void* cls)
    {
        auto* self = static_cast<client*>(cls);
        if (timeout_ms < 0) {
            self->m_timer.reset();
        }
        else {
            self->m_timer = event_loop::now() + std::chrono::milliseconds(timeout_ms);
            self->m_loop.request_round();
        }
        return 0;
    }
};

client::client(event_loop& loop) : m_loop(loop), m_multi(curl_multi_init())
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, client_callbacks::socket_changed);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, client_callbacks::timer_changed);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, max_kept_connections);
    m_loop.each_round([this](base::time_point) -> std::optional<base::time_point> {
        if (m_timer && *m_timer <= event_loop::now()) {
            m_timer.reset();
            socket_ready(CURL_SOCKET_TIMEOUT, 0);
        }
        return m_timer;
    });
}

client::~client()
{
    for (auto& [easy, open] : m_transfers) {
        curl_multi_remove_handle(m_multi, easy);
        open->m_ended = true;
        open->m_hooks = {};
        open->m_easy = nullptr;
        curl_easy_cleanup(easy);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
    for (void* handle : m_free_handles) {
        curl_easy_cleanup(handle);
    }
}

std::shared_ptr<transfer> client::send(client_request request, transfer::hooks calls)
{
    auto started = std::make_shared<transfer>(*this, std::move(request), std::move(calls));
    started->start();
    m_transfers[started->m_easy] = started;
    if (m_in_curl == 0) {
        curl_multi_add_handle(m_multi, started->m_easy);
    }
    else {
        // libcurl takes no new transfers while it calls a hook.
        defer([this, started] {
            if (!started->m_ended) {
                curl_multi_add_handle(m_multi, started->m_easy);
            }
        });
    }
    return started;
}

void client::socket_ready(int fd, int events)
{
    int running = 0;
    ++m_in_curl;
    curl_multi_socket_action(m_multi, fd, events, &running);
    --m_in_curl;
    collect();
}

void client::collect()
{
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const auto found = m_transfers.find(message->easy_handle);
        if (found == m_transfers.end()) {
            continue;
        }
        const auto done = found->second;
        const CURLcode code = message->data.result;
        transfer_end how;
        how.how = transfer_end::kind::complete;
        if (code != CURLE_OK) {
            how.how =
                done->may_have_sent() ? transfer_end::kind::broken : transfer_end::kind::not_sent;
            how.text = done->m_resend_suppressed ? "connection closed without an answer"
                                                 : curl_easy_strerror(code);
        }
        done->end(how);
    }
}

void* client::take_handle()
{
    if (m_free_handles.empty()) {
        return transfer::make_handle();
    }
    void* handle = m_free_handles.back();
    m_free_handles.pop_back();
    return handle;
}

void client::give_back_handle(void* handle)
{
    if (m_free_handles.size() < max_free_handles) {
        m_free_handles.push_back(handle);
    }
    else {
        curl_easy_cleanup(handle);
    }
}

void client::defer(std::function<void()> call)
{
    m_loop.post(std::move(call));
}

void client::remove(transfer& ended)
{
    curl_multi_remove_handle(m_multi, ended.m_easy);
    m_transfers.erase(ended.m_easy);
    give_back_handle(std::exchange(ended.m_easy, nullptr));
}

} // namespace damaskladder::http
