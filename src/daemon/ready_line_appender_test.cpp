#include "daemon/ready_line_appender.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

namespace damaskladder::daemon {
namespace {

struct reader_case {
    std::string name;
    std::size_t line_size;
    std::size_t lines;
};

class stalled_readers : public testing::TestWithParam<reader_case> {};

std::string read_available(int descriptor)
{
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t size = 0; (size = ::read(descriptor, buffer.data(), buffer.size())) > 0;) {
        text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
}

// Guards against threads that wait for a reader of the log: the whole process hung with it.
TEST_P(stalled_readers, hold_up_no_thread_and_are_told_how_many_lines_were_lost)
{
    // Cannot be repeated after its end.
    static const auto* const initializer = new log4cplus::Initializer;
    ASSERT_NE(initializer, nullptr);
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe2(ends.data(), O_CLOEXEC), 0);
    constexpr int pipe_size = 64 * 1024;
    ASSERT_GE(::fcntl(ends[1], F_SETPIPE_SZ, pipe_size), pipe_size);
    ASSERT_EQ(::fcntl(ends[0], F_SETFL, O_NONBLOCK), 0);
    {
        auto logger = log4cplus::Logger::getInstance("stalled_readers");
        log4cplus::SharedAppenderPtr appender(new ready_line_appender(
            ends[1], [](std::size_t lost) { return "lost " + std::to_string(lost); }));
        appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
        logger.addAppender(appender);
        const std::string line(GetParam().line_size, 'x');
        for (std::size_t i = 0; i < GetParam().lines; ++i) {
            logger.log(log4cplus::ERROR_LOG_LEVEL, line);
        }
        const auto before = read_available(ends[0]);
        const std::size_t whole = before.size() / (line.size() + 1);
        EXPECT_LT(whole, GetParam().lines);
        logger.log(log4cplus::ERROR_LOG_LEVEL, "next");
        const std::string cut = before.empty() || before.back() == '\n' ? "" : "\n";
        EXPECT_EQ(read_available(ends[0]),
                  cut + "lost " + std::to_string(GetParam().lines - whole) + "\nnext\n");
        logger.removeAllAppenders();
    }
    ::close(ends[0]);
    ::close(ends[1]);
}

INSTANTIATE_TEST_SUITE_P(table, stalled_readers,
                         testing::Values(reader_case{"short_lines", 100, 2'000},
                                         reader_case{"lines_of_a_page", 4'095, 40},
                                         reader_case{"lines_longer_than_the_pipe", 100'000, 2}),
                         [](const auto& test) { return test.param.name; });

} // namespace
} // namespace damaskladder::daemon
