#pragma once

#include "base/byte_count.hpp"
#include "base/result.hpp"
#include "consensus/file_handle.hpp"
#include "consensus/file_name.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::consensus {

/// File operations on one data folder. After a crash of the VM only synced data is guaranteed to
/// remain: sync makes content durable, and sync_folder makes the creation, renaming and removal of
/// files durable.
struct file_layer {
    /// Locks the folder against other processes until the layer is destroyed.
    std::function<base::result<void>()> lock;
    std::function<base::result<std::vector<file_name>>()> list;
    /// Reads the whole file; fails with kind too_large if it is larger than the limit.
    std::function<base::result<std::string>(const file_name&, base::byte_count limit)> read;
    /// Opens for appending; creates the file if it does not exist.
    std::function<base::result<file_handle>(const file_name&)> open;
    std::function<base::result<void>(file_handle, std::string_view)> append;
    std::function<base::result<void>(file_handle, base::byte_count size)> truncate;
    std::function<base::result<void>(file_handle)> sync;
    std::function<void(file_handle)> close;
    std::function<base::result<void>(const file_name& from, const file_name& to)> rename;
    std::function<base::result<void>(const file_name&)> remove;
    std::function<base::result<void>()> sync_folder;
    /// Path of the file, for error messages.
    std::function<std::string(const file_name&)> path;
};

} // namespace damaskladder::consensus
