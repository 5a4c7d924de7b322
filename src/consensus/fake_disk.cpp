#include "consensus/fake_disk.hpp"

#include <utility>

namespace damaskladder::consensus {

file_layer fake_disk::layer()
{
    file_layer files;
    files.lock = []() -> base::result<void> { return {}; };
    files.list = [this]() -> base::result<std::vector<file_name>> { return names(); };
    files.read = [this](const file_name& name,
                        base::byte_count limit) -> base::result<std::string> {
        const auto found = m_names.find(name);
        if (found == m_names.end()) {
            return base::fail(base::failure_kind::io, "open file", name.value(), "no such file");
        }
        if (static_cast<std::int64_t>(found->second->content.size()) > limit.value()) {
            return base::fail(base::failure_kind::too_large, "read file", name.value(),
                              "too large");
        }
        return found->second->content;
    };
    files.open = [this](const file_name& name) { return open(name); };
    files.append = [this](file_handle handle, std::string_view bytes) {
        return append(handle, bytes);
    };
    files.truncate = [this](file_handle handle, base::byte_count size) -> base::result<void> {
        BOOST_LEAF_CHECK(change("truncate"));
        m_open.at(handle)->content.resize(static_cast<std::size_t>(size.value()));
        return {};
    };
    files.sync = [this](file_handle handle) -> base::result<void> {
        BOOST_LEAF_CHECK(change("sync"));
        m_open.at(handle)->durable = m_open.at(handle)->content;
        return {};
    };
    files.close = [this](file_handle handle) { m_open.erase(handle); };
    files.rename = [this](const file_name& from, const file_name& to) { return rename(from, to); };
    files.remove = [this](const file_name& name) -> base::result<void> {
        BOOST_LEAF_CHECK(change("remove"));
        m_names.erase(name);
        return {};
    };
    files.sync_folder = [this]() -> base::result<void> {
        BOOST_LEAF_CHECK(change("sync folder"));
        m_durable_names = m_names;
        return {};
    };
    files.path = [](const file_name& name) { return name.value(); };
    return files;
}

void fake_disk::fail_at(std::uint64_t operation, bool stop)
{
    m_fail_at = operation;
    m_stop = stop;
}

void fake_disk::crash(unsynced_data unsynced)
{
    m_fail_at.reset();
    m_open.clear();
    if (unsynced != unsynced_data::kept) {
        m_names = m_durable_names;
    }
    for (auto& [name, file] : m_names) {
        const std::size_t written = file->content.size();
        const std::size_t synced = file->durable.size();
        if (unsynced == unsynced_data::half && written > synced) {
            file->content.resize(synced + (written - synced) / 2);
        }
        else if (unsynced == unsynced_data::zeroed && written > synced) {
            file->content.replace(synced, written - synced, written - synced, '\0');
        }
        else if (unsynced != unsynced_data::kept) {
            file->content = file->durable;
        }
        file->durable = file->content;
    }
    m_durable_names = m_names;
}

std::string fake_disk::read_content(const file_name& name) const
{
    const auto found = m_names.find(name);
    return found == m_names.end() ? std::string() : found->second->content;
}

void fake_disk::write_content(const file_name& name, const std::string& content)
{
    m_names[name] = std::make_shared<fake_file>(fake_file{content, content});
    m_durable_names = m_names;
}

std::vector<file_name> fake_disk::names() const
{
    std::vector<file_name> found;
    for (const auto& [name, file] : m_names) {
        found.push_back(name);
    }
    return found;
}

bool fake_disk::next_fails()
{
    ++m_operations;
    return m_fail_at && (m_operations == *m_fail_at || (m_stop && m_operations > *m_fail_at));
}

base::result<void> fake_disk::change(std::string_view step)
{
    if (next_fails()) {
        return base::fail(base::failure_kind::io, std::string(step), "fake disk",
                          "No space left on device");
    }
    return {};
}

base::result<void> fake_disk::grow(std::string_view step)
{
    BOOST_LEAF_CHECK(change(step));
    if (m_full_from && m_operations >= *m_full_from) {
        return base::fail(base::failure_kind::no_space, std::string(step), "fake disk",
                          "No space left on device");
    }
    return {};
}

base::result<file_handle> fake_disk::open(const file_name& name)
{
    BOOST_LEAF_CHECK(m_names.count(name) == 0 ? grow("open") : change("open"));
    auto& file = m_names[name];
    if (!file) {
        file = std::make_shared<fake_file>();
    }
    const file_handle handle(m_next_handle++);
    m_open[handle] = file;
    return handle;
}

base::result<void> fake_disk::append(file_handle handle, std::string_view bytes)
{
    std::string& content = m_open.at(handle)->content;
    base::result<void> allowed = grow("append");
    content += allowed ? bytes : bytes.substr(0, bytes.size() / 2);
    return allowed ? base::result<void>() : allowed.error();
}

base::result<void> fake_disk::rename(const file_name& from, const file_name& to)
{
    BOOST_LEAF_CHECK(change("rename"));
    m_names[to] = m_names.at(from);
    m_names.erase(from);
    return {};
}

} // namespace damaskladder::consensus
