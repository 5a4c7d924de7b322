#include "daemon/load_field.hpp"
#include "http/header_names.hpp"

#include <gtest/gtest.h>

namespace damaskladder::daemon {
namespace {

struct load_field_case {
    const char* name;
    const char* text;
    std::optional<routing::load_report> report;
};

void PrintTo(const load_field_case& row, std::ostream* out)
{
    *out << row.name;
}

class load_fields : public testing::TestWithParam<load_field_case> {};

routing::load_report report_of(std::int64_t busy, std::int64_t limit, std::int64_t run_time_us)
{
    return {base::slot_count(busy), base::slot_count(limit), base::duration(run_time_us)};
}

// Guards against a false or damaged report of another node that disturbs the choice of servers, and
// against ignoring the reports of nodes that name no run time.
TEST_P(load_fields, accept_only_valid_numbers)
{
    http::header_list headers;
    headers.add(std::string(http::header_names::load), GetParam().text);
    EXPECT_EQ(read_load(headers), GetParam().report);
}

INSTANTIATE_TEST_SUITE_P(
    table, load_fields,
    testing::Values(load_field_case{"no run time", "3/51", report_of(3, 51, 0)},
                    load_field_case{"run time", "3/51/98000", report_of(3, 51, 98'000)},
                    load_field_case{"empty run time", "3/51/", std::nullopt},
                    load_field_case{"text after run time", "3/51/98x", std::nullopt},
                    load_field_case{"fourth part", "3/51/98/1", std::nullopt},
                    load_field_case{"negative run time", "3/51/-1", std::nullopt},
                    load_field_case{"run time out of range", "3/51/3600000001", std::nullopt},
                    load_field_case{"run time overflows", "3/51/99999999999999999999",
                                    std::nullopt},
                    load_field_case{"busy out of range", "1000001/51", std::nullopt},
                    load_field_case{"negative busy", "-1/51", std::nullopt},
                    load_field_case{"no limit", "3/", std::nullopt},
                    load_field_case{"limit zero", "3/0", std::nullopt},
                    load_field_case{"only busy", "3", std::nullopt},
                    load_field_case{"empty", "", std::nullopt}));

// Guards against a report that the receiving node cannot read.
TEST(load_field, is_read_as_written)
{
    for (const auto& report : {report_of(0, 1, 0), report_of(60, 51, 250'000)}) {
        http::header_list headers;
        headers.add(std::string(http::header_names::load), load_field(report));
        EXPECT_EQ(read_load(headers), report);
    }
}

} // namespace
} // namespace damaskladder::daemon
