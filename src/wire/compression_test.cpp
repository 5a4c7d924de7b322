#include "wire/compression.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace damaskladder::wire {
namespace {

std::string routes(int count)
{
    std::string text;
    for (int route = 0; route < count; ++route) {
        text += "[teams/main/routes/r" + std::to_string(route * 7919) +
                "]\nprefix = /p\nservice = s1\nretries = 2\n";
    }
    return text;
}

std::string noise(std::size_t size)
{
    std::mt19937_64 random(size);
    std::string bytes(size, '\0');
    for (char& byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

struct content_case {
    std::string name;
    std::string bytes;
};

class compressed_contents : public testing::TestWithParam<content_case> {};

// Guards against settings that are changed on the way.
TEST_P(compressed_contents, are_restored)
{
    EXPECT_EQ(decompress(compress(GetParam().bytes)).value(), GetParam().bytes);
}

INSTANTIATE_TEST_SUITE_P(table, compressed_contents,
                         testing::Values(content_case{"empty", ""}, content_case{"small", "a"},
                                         content_case{"text", routes(400)},
                                         content_case{"cbor_map", "\xa1\x61" + routes(50)},
                                         content_case{"noise", "\xa1" + noise(5000)}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against a large change that keeps a control replica busy for half a second while it is
// sent to each node.
TEST(compression, shrinks_a_large_change_to_a_fifth)
{
    const auto plain = routes(400);
    EXPECT_LT(compress(plain).size(), plain.size() / 5);
}

struct damage_case {
    std::string name;
    std::string bytes;
};

class damaged_contents : public testing::TestWithParam<damage_case> {};

// Guards against unbounded memory and against settings from damaged bytes.
TEST_P(damaged_contents, are_rejected)
{
    const bool rejected = base::handle_failure(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decompress(GetParam().bytes));
            return false;
        },
        [](const base::failure& error) { return error.kind == base::failure_kind::corrupt; });
    EXPECT_TRUE(rejected);
}

std::string with_size(const std::string& size)
{
    return compress(routes(100)).replace(1, 4, size);
}

INSTANTIATE_TEST_SUITE_P(
    table, damaged_contents,
    testing::Values(damage_case{"mark_only", "\x01"},
                    damage_case{"no_contents", std::string("\x01\0\0\0\x01", 5)},
                    damage_case{"cut_short", compress(routes(100)).substr(0, 100)},
                    damage_case{"too_large_size", with_size("\xff\xff\xff\xff")},
                    damage_case{"smaller_size", with_size(std::string("\x01\0\0\0", 4))},
                    damage_case{"larger_size", with_size(std::string("\0\0\x01\0", 4))},
                    damage_case{"noise", "\x01" + noise(300)}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::wire
