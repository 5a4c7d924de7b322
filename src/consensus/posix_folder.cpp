#include "consensus/posix_folder.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <memory>
#include <system_error>
#include <utility>

namespace damaskladder::consensus {

namespace {

constexpr mode_t file_mode = 0600;
constexpr std::string_view lock_name = "lock";

boost::leaf::error_id fail_with_errno(std::string step, std::string path)
{
    const int code = errno;
    const bool is_full = code == ENOSPC || code == EDQUOT;
    return base::fail(is_full ? base::failure_kind::no_space : base::failure_kind::io,
                      std::move(step), std::move(path), std::generic_category().message(code));
}

} // namespace

posix_folder::posix_folder(std::string folder) : m_folder(std::move(folder)), m_lock(-1) {}

base::result<void> posix_folder::lock()
{
    const std::string lock_path = path(file_name(std::string(lock_name)));
    m_lock =
        base::file_descriptor(::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!m_lock.is_open()) {
        return fail_with_errno("open lock file", lock_path);
    }
    if (::flock(m_lock.get(), LOCK_EX | LOCK_NB) != 0) {
        return base::fail(base::failure_kind::conflict, "lock data folder", m_folder,
                          "another process uses this data folder; stop it or set another folder");
    }
    return {};
}

base::result<std::vector<file_name>> posix_folder::list() const
{
    const std::unique_ptr<DIR, int (*)(DIR*)> stream(::opendir(m_folder.c_str()), ::closedir);
    if (!stream) {
        return fail_with_errno("list data folder", m_folder);
    }
    std::vector<file_name> names;
    errno = 0;
    // readdir is safe here: it only requires that no other thread reads the same stream.
    while (const dirent* found = ::readdir(stream.get())) { // NOLINT(concurrency-mt-unsafe)
        const std::string name(found->d_name);
        if (name != "." && name != ".." && name != lock_name) {
            names.emplace_back(name);
        }
    }
    if (errno != 0) {
        return fail_with_errno("list data folder", m_folder);
    }
    return names;
}

base::result<std::string> posix_folder::read(const file_name& name, base::byte_count limit) const
{
    const std::string where = path(name);
    const base::file_descriptor file(::open(where.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat info = {};
    if (!file.is_open() || ::fstat(file.get(), &info) != 0) {
        return fail_with_errno("open file", where);
    }
    if (info.st_size > limit.value()) {
        return base::fail(base::failure_kind::too_large, "read file", where,
                          "the file is larger than " + std::to_string(limit.value()) + " bytes");
    }
    std::string content(static_cast<std::size_t>(info.st_size), '\0');
    std::size_t done = 0;
    while (done < content.size()) {
        const ssize_t count = ::read(file.get(), content.data() + done, content.size() - done);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return fail_with_errno("read file", where);
        }
        if (count == 0) {
            break;
        }
        done += static_cast<std::size_t>(count);
    }
    content.resize(done);
    return content;
}

base::result<file_handle> posix_folder::open(const file_name& name)
{
    std::string where = path(name);
    base::file_descriptor file(
        ::open(where.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, file_mode));
    if (!file.is_open()) {
        return fail_with_errno("open file", std::move(where));
    }
    const file_handle handle(file.get());
    m_files.insert_or_assign(handle, open_file{std::move(file), std::move(where)});
    return handle;
}

base::result<const posix_folder::open_file*> posix_folder::find(file_handle handle) const
{
    const auto found = m_files.find(handle);
    if (found == m_files.end()) {
        return base::fail(base::failure_kind::internal, "use file handle", m_folder,
                          "the file handle is not open");
    }
    return &found->second;
}

base::result<void> posix_folder::append(file_handle handle, std::string_view bytes)
{
    BOOST_LEAF_AUTO(file, find(handle));
    while (!bytes.empty()) {
        const ssize_t count = ::write(file->descriptor.get(), bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return fail_with_errno("write file", file->path);
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
}

base::result<void> posix_folder::truncate(file_handle handle, base::byte_count size)
{
    BOOST_LEAF_AUTO(file, find(handle));
    if (::ftruncate(file->descriptor.get(), size.value()) != 0) {
        return fail_with_errno("truncate file", file->path);
    }
    return {};
}

base::result<void> posix_folder::sync(file_handle handle)
{
    BOOST_LEAF_AUTO(file, find(handle));
    // A failed sync is never retried, not even on a full disk: the kernel may have dropped the
    // dirty pages, and the next call would then report success without having written them.
    if (::fdatasync(file->descriptor.get()) != 0) {
        return base::fail(base::failure_kind::io, "sync file", file->path,
                          std::generic_category().message(errno));
    }
    return {};
}

void posix_folder::close(file_handle handle)
{
    m_files.erase(handle);
}

base::result<void> posix_folder::rename(const file_name& from, const file_name& to) const
{
    if (std::rename(path(from).c_str(), path(to).c_str()) != 0) {
        return fail_with_errno("rename file", path(from));
    }
    return {};
}

base::result<void> posix_folder::remove(const file_name& name) const
{
    if (::unlink(path(name).c_str()) != 0) {
        return fail_with_errno("remove file", path(name));
    }
    return {};
}

base::result<void> posix_folder::sync_folder() const
{
    const base::file_descriptor folder(
        ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    // As above, a failed sync is not repeated.
    if (!folder.is_open() || ::fsync(folder.get()) != 0) {
        return base::fail(base::failure_kind::io, "sync data folder", m_folder,
                          std::generic_category().message(errno));
    }
    return {};
}

std::string posix_folder::path(const file_name& name) const
{
    return m_folder + "/" + name.value();
}

} // namespace damaskladder::consensus
