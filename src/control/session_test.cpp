#include "control/session_runner_test.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace damaskladder::control {
namespace {

struct session_case {
    const char* file;
    bool restarts;
};

class golden_session : public testing::TestWithParam<session_case> {};

// Compares what operators see with golden files; replies must not depend on restarts.
TEST_P(golden_session, plays_as_written)
{
    auto path = std::string(DAMASKLADDER_TESTDATA) + "/" + GetParam().file;
    std::ifstream in(path);
    ASSERT_TRUE(in) << path;
    std::ostringstream text;
    text << in.rdbuf();
    auto transcript = session_runner(GetParam().restarts).run(text.str());
    auto transcript_path = testing::TempDir() + GetParam().file;
    std::ofstream(transcript_path) << transcript;
    EXPECT_EQ(transcript, text.str()) << "the actual transcript is in " << transcript_path;
}

INSTANTIATE_TEST_SUITE_P(table, golden_session,
                         testing::Values(session_case{"first_setup.session", false},
                                         session_case{"first_setup.session", true},
                                         session_case{"review.session", false},
                                         session_case{"review.session", true},
                                         session_case{"races.session", false},
                                         session_case{"races.session", true},
                                         session_case{"evacuation.session", false},
                                         session_case{"evacuation.session", true}));

} // namespace
} // namespace damaskladder::control
