#include "daemon/word_memory.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::daemon {
namespace {

struct memory_case {
    std::string name;
    /// Words added before the tested one.
    std::size_t added_before;
    std::string word;
    /// Settings in force when the tested word is looked up; it was added under version 1.
    int version;
    bool contained;
};

class remembered_words : public testing::TestWithParam<memory_case> {};

// Guards against a word that has become a key since it was remembered, and against memory that
// grows with what callers send.
TEST_P(remembered_words, hold_for_one_version_and_are_limited)
{
    word_memory words;
    words.use_settings(base::settings_version(1));
    for (std::size_t i = 0; i < GetParam().added_before; ++i) {
        words.add(std::to_string(i));
    }
    words.add(GetParam().word);
    words.use_settings(base::settings_version(GetParam().version));
    EXPECT_EQ(words.contains(GetParam().word), GetParam().contained);
    EXPECT_LE(words.size(), word_memory::max_words);
}

INSTANTIATE_TEST_SUITE_P(table, remembered_words,
                         testing::Values(memory_case{"same_settings", 0, "gzip", 1, true},
                                         memory_case{"newer_settings", 0, "gzip", 2, false},
                                         memory_case{"last_place", 255, "gzip", 1, true},
                                         memory_case{"full", 256, "gzip", 1, false},
                                         memory_case{"long", 0, std::string(129, 'x'), 1, false}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
