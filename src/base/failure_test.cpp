#include "base/failure.hpp"
#include "base/result.hpp"

#include <gtest/gtest.h>

namespace damaskladder::base {
namespace {

struct failure_case {
    failure error;
    std::string line;
};

class failure_to_string : public testing::TestWithParam<failure_case> {};

// Guards against error messages that omit the step or the peer.
TEST_P(failure_to_string, includes_step_and_peer)
{
    const auto& expected = GetParam();
    auto line = handle_failure(
        [&]() -> result<std::string> {
            return fail(expected.error.kind, expected.error.step, expected.error.peer,
                        expected.error.text);
        },
        [](const failure& error) { return to_string(error); });
    EXPECT_EQ(line, expected.line);
}

INSTANTIATE_TEST_SUITE_P(
    table, failure_to_string,
    testing::Values(failure_case{{failure_kind::io, "sync segment", "segment-1", "disk full"},
                                 "sync segment: disk full (peer segment-1, io)"},
                    failure_case{{failure_kind::timeout, "connect", "", "no answer in 1 s"},
                                 "connect: no answer in 1 s (timeout)"}));

} // namespace
} // namespace damaskladder::base
