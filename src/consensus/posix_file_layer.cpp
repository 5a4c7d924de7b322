#include "consensus/posix_file_layer.hpp"

#include "consensus/posix_folder.hpp"

#include <memory>
#include <utility>

namespace damaskladder::consensus {

file_layer posix_file_layer(std::string folder)
{
    auto files = std::make_shared<posix_folder>(std::move(folder));
    file_layer layer;
    layer.lock = [files] { return files->lock(); };
    layer.list = [files] { return files->list(); };
    layer.read = [files](const file_name& name, base::byte_count limit) {
        return files->read(name, limit);
    };
    layer.open = [files](const file_name& name) { return files->open(name); };
    layer.append = [files](file_handle handle, std::string_view bytes) {
        return files->append(handle, bytes);
    };
    layer.truncate = [files](file_handle handle, base::byte_count size) {
        return files->truncate(handle, size);
    };
    layer.sync = [files](file_handle handle) { return files->sync(handle); };
    layer.close = [files](file_handle handle) { files->close(handle); };
    layer.rename = [files](const file_name& from, const file_name& to) {
        return files->rename(from, to);
    };
    layer.remove = [files](const file_name& name) { return files->remove(name); };
    layer.sync_folder = [files] { return files->sync_folder(); };
    layer.path = [files](const file_name& name) { return files->path(name); };
    return layer;
}

} // namespace damaskladder::consensus
