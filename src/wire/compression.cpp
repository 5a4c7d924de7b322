#include "wire/compression.hpp"

#include "base/byte_reader.hpp"
#include "base/byte_writer.hpp"

#include <zlib.h>

#include <cstdint>
#include <utility>

namespace damaskladder::wire {

namespace {

constexpr std::uint8_t compressed_mark = 1;
/// Smaller bytes fit into one packet anyway.
constexpr std::size_t min_size = 1024;
constexpr int level = Z_BEST_SPEED;

boost::leaf::error_id corrupt(std::string text)
{
    return base::fail(base::failure_kind::corrupt, "decompress", {}, std::move(text));
}

} // namespace

std::string compress(std::string bytes)
{
    if (bytes.size() < min_size || bytes.size() > max_decompressed_size) {
        return bytes;
    }
    uLongf size = compressBound(bytes.size());
    std::string content(size, '\0');
    const int status = compress2(reinterpret_cast<Bytef*>(content.data()), &size,
                                 reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), level);
    if (status != Z_OK || size >= bytes.size()) {
        return bytes;
    }
    content.resize(size);
    base::byte_writer out;
    out.u8(compressed_mark).u32(static_cast<std::uint32_t>(bytes.size()));
    return out.take() + content;
}

base::result<std::string> decompress(std::string bytes)
{
    if (bytes.empty() || static_cast<std::uint8_t>(bytes.front()) != compressed_mark) {
        return bytes;
    }
    base::byte_reader in(bytes);
    in.u8();
    const std::size_t announced = in.u32();
    const auto content = in.rest();
    if (!in.ok() || announced > max_decompressed_size) {
        return corrupt("expected the size of the contents, up to 32 MiB");
    }
    std::string plain(announced, '\0');
    uLongf size = announced;
    const int status = uncompress(reinterpret_cast<Bytef*>(plain.data()), &size,
                                  reinterpret_cast<const Bytef*>(content.data()), content.size());
    if (status != Z_OK || size != announced) {
        return corrupt("the contents are damaged");
    }
    return plain;
}

} // namespace damaskladder::wire
