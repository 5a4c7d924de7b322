#include "consensus/atomic_write.hpp"

#include "consensus/folder_names.hpp"

namespace damaskladder::consensus {

namespace {

base::result<void> fill(const file_layer& files, file_handle handle, std::string_view content)
{
    // Removes the remains of an interrupted earlier attempt.
    BOOST_LEAF_CHECK(files.truncate(handle, base::byte_count(0)));
    BOOST_LEAF_CHECK(files.append(handle, content));
    return files.sync(handle);
}

} // namespace

base::result<void> write_atomically(const file_layer& files, const file_name& name,
                                    std::string_view content)
{
    const file_name temporary = temporary_file(name);
    BOOST_LEAF_AUTO(handle, files.open(temporary));
    base::result<void> filled = fill(files, handle, content);
    files.close(handle);
    if (!filled) {
        return filled.error();
    }
    BOOST_LEAF_CHECK(files.rename(temporary, name));
    return files.sync_folder();
}

} // namespace damaskladder::consensus
