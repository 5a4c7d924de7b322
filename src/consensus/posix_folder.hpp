#pragma once

#include "base/byte_count.hpp"
#include "base/file_descriptor.hpp"
#include "base/result.hpp"
#include "consensus/file_handle.hpp"
#include "consensus/file_name.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::consensus {

/// POSIX file operations on one folder; file_layer documents their semantics.
class posix_folder {
public:
    explicit posix_folder(std::string folder);

    base::result<void> lock();
    base::result<std::vector<file_name>> list() const;
    base::result<std::string> read(const file_name& name, base::byte_count limit) const;
    base::result<file_handle> open(const file_name& name);
    base::result<void> append(file_handle handle, std::string_view bytes);
    base::result<void> truncate(file_handle handle, base::byte_count size);
    base::result<void> sync(file_handle handle);
    void close(file_handle handle);
    base::result<void> rename(const file_name& from, const file_name& to) const;
    base::result<void> remove(const file_name& name) const;
    base::result<void> sync_folder() const;
    std::string path(const file_name& name) const;

private:
    struct open_file {
        base::file_descriptor descriptor;
        std::string path;
    };

    base::result<const open_file*> find(file_handle handle) const;

    std::string m_folder;
    base::file_descriptor m_lock;
    std::map<file_handle, open_file> m_files;
};

} // namespace damaskladder::consensus
