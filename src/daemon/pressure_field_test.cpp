#include "daemon/pressure_field.hpp"

#include <gtest/gtest.h>

namespace damaskladder::daemon {
namespace {

struct field_case {
    const char* text;
    std::optional<double> value;
};

void PrintTo(const field_case& row, std::ostream* out)
{
    *out << '"' << row.text << '"';
}

class pressure_field : public testing::TestWithParam<field_case> {};

// Guards against a malformed or extreme field that sheds the requests of a whole fleet.
TEST_P(pressure_field, is_parsed_and_clamped)
{
    const std::string text = GetParam().text;
    const auto parsed = read_pressure(&text);
    ASSERT_EQ(parsed.has_value(), GetParam().value.has_value());
    if (parsed) {
        EXPECT_DOUBLE_EQ(parsed->value(), *GetParam().value);
    }
}

INSTANTIATE_TEST_SUITE_P(table, pressure_field,
                         testing::Values(field_case{"0", 0.0}, field_case{"107", 1.07},
                                         field_case{"400", 4.0}, field_case{"999999", 4.0},
                                         field_case{"-1", std::nullopt},
                                         field_case{"", std::nullopt},
                                         field_case{"1.5", std::nullopt},
                                         field_case{"99999999999999999999", std::nullopt},
                                         field_case{"1 ", std::nullopt}));

// Guards against values that the reader refuses.
TEST(write_pressure, gives_hundredths_within_bounds)
{
    EXPECT_EQ(write_pressure(base::load_fraction(1.068)), "107");
    EXPECT_EQ(write_pressure(base::load_fraction(9)), "400");
    EXPECT_EQ(write_pressure(base::load_fraction(-1)), "0");
    EXPECT_EQ(read_pressure(nullptr), std::nullopt);
}

} // namespace
} // namespace damaskladder::daemon
