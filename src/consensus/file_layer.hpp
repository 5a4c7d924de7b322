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

/// The files of one data folder. Nothing survives a crash of the VM before sync (content) or
/// sync_folder (creation, renaming and removal of names).
struct file_layer {
    /// Keeps other processes out of the folder until the layer is destroyed.
    std::function<base::result<void>()> lock;
    std::function<base::result<std::vector<file_name>>()> list;
    /// Whole content; a failure of kind too_large beyond the limit.
    std::function<base::result<std::string>(const file_name&, base::byte_count limit)> read;
    /// Opens for writing at the end; creates the file if it does not exist.
    std::function<base::result<file_handle>(const file_name&)> open;
    std::function<base::result<void>(file_handle, std::string_view)> append;
    std::function<base::result<void>(file_handle, base::byte_count size)> truncate;
    std::function<base::result<void>(file_handle)> sync;
    std::function<void(file_handle)> close;
    std::function<base::result<void>(const file_name& from, const file_name& to)> rename;
    std::function<base::result<void>(const file_name&)> remove;
    std::function<base::result<void>()> sync_folder;
    /// For messages: where the file is.
    std::function<std::string(const file_name&)> path;
};

} // namespace damaskladder::consensus
