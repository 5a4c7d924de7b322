#include "load/json_report.hpp"
#include "load/svg_plot.hpp"
#include "load/text_report.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace damaskladder::load {
namespace {

run_report sample()
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    run_report report;
    report.seed = 7;
    report.duration = seconds(2);
    report.seconds = {{request_count(100), request_count(60)},
                      {request_count(50), request_count(50)}};
    report.total = {request_count(150), request_count(110)};
    report.latency = {request_count(110), milliseconds(1), milliseconds(2),
                      milliseconds(3),    milliseconds(4), base::duration(5250)};
    auto& stream = report.streams.emplace_back();
    stream.name = stream_name("files");
    stream.workspace = base::workspace_id("w1");
    stream.total = report.total;
    stream.attempts = request_count(160);
    stream.results[0] = request_count(110);
    stream.results[1] = request_count(40);
    stream.reasons[refusal_reason("rate")] = request_count(30);
    stream.reasons[refusal_reason()] = request_count(10);
    stream.wrongful_refusals = request_count(30);
    stream.latency = report.latency;
    report.wrongful_refusals = request_count(30);
    report.workspaces = {{base::workspace_id("w1"), base::share_weight(2), report.total, 110}};
    report.recoveries = {
        {cause_name("surges/a"), milliseconds(500), seconds(1), std::nullopt},
        {cause_name("commands/b"), milliseconds(900), seconds(2), milliseconds(100)}};
    report.commands = {{cause_name("commands/b"), milliseconds(900), 200}};
    return report;
}

std::string sample_text()
{
    std::ostringstream out;
    write_text(out, sample());
    return out.str();
}

struct golden_case {
    const char* file;
    std::string (*made)();
};

class golden_report : public testing::TestWithParam<golden_case> {};

// Guards against values printed under the wrong name or in the wrong unit.
TEST_P(golden_report, is_as_in_the_file)
{
    std::ifstream file(std::string(DAMASKLADDER_TESTDATA) + "/" + GetParam().file);
    std::ostringstream wanted;
    wanted << file.rdbuf();
    EXPECT_EQ(GetParam().made(), wanted.str());
}

INSTANTIATE_TEST_SUITE_P(
    table, golden_report,
    testing::Values(golden_case{"report.txt", sample_text},
                    golden_case{"report.json", [] { return to_json(sample()); }},
                    golden_case{"report.svg", [] { return to_svg(sample().seconds); }}));

} // namespace
} // namespace damaskladder::load
