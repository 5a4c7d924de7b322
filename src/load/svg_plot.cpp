#include "load/svg_plot.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace damaskladder::load {

namespace {

constexpr double width = 800;
constexpr double height = 400;
constexpr double left = 70;
constexpr double right = 20;
constexpr double top = 40;
constexpr double bottom = 50;
constexpr int ticks = 5;

/// Smallest step of the form 1, 2 or 5 times a power of ten with which `ticks` steps reach the
/// value.
double tick_step(double value)
{
    const double exact = std::max(value, 1.0) / ticks;
    const double power = std::pow(10.0, std::floor(std::log10(exact)));
    for (const double factor : {1.0, 2.0, 5.0}) {
        if (factor * power >= exact) {
            return factor * power;
        }
    }
    constexpr double next_power = 10;
    return next_power * power;
}

class plot {
public:
    explicit plot(const std::vector<goodput_counts>& seconds)
        : m_seconds(seconds),
          m_x_step(std::max(1.0, tick_step(static_cast<double>(seconds.size()))))
    {
        double most = 0;
        for (const auto& second : seconds) {
            most = std::max(most, static_cast<double>(second.demand.value()));
        }
        m_y_step = tick_step(most);
        m_out << std::fixed << std::setprecision(1);
    }

    std::string draw()
    {
        m_out << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << width << R"(" height=")"
              << height << R"(" font-family="sans-serif" font-size="12">)" << '\n'
              << R"(<rect width="100%" height="100%" fill="white"/>)" << '\n';
        draw_axes();
        draw_line("gray", [](const goodput_counts& counts) { return counts.demand; });
        draw_line("blue", [](const goodput_counts& counts) { return counts.good; });
        draw_text(left, top / 2, "start", "requests/s: demand (gray), goodput (blue)");
        draw_text(width / 2, height - bottom / 4, "middle", "intended send time (s)");
        m_out << "</svg>\n";
        return m_out.str();
    }

private:
    double x_of(double second) const
    {
        const auto count = static_cast<double>(std::max<std::size_t>(m_seconds.size(), 1));
        return left + (width - left - right) * second / count;
    }

    double y_of(double value) const
    {
        return height - bottom - (height - top - bottom) * value / (m_y_step * ticks);
    }

    void draw_text(double x, double y, std::string_view anchor, std::string_view text)
    {
        m_out << R"(<text x=")" << x << R"(" y=")" << y << R"(" text-anchor=")" << anchor << R"(">)"
              << text << "</text>\n";
    }

    void draw_segment(double x1, double y1, double x2, double y2)
    {
        m_out << R"(<line x1=")" << x1 << R"(" y1=")" << y1 << R"(" x2=")" << x2 << R"(" y2=")"
              << y2 << R"(" stroke="lightgray"/>)" << '\n';
    }

    static std::string number(double value)
    {
        return std::to_string(static_cast<long long>(std::llround(value)));
    }

    void draw_axes()
    {
        constexpr double gap = 6;
        constexpr double line_height = 16;
        for (int i = 0; i <= ticks; ++i) {
            const double value = i * m_y_step;
            draw_segment(left, y_of(value), width - right, y_of(value));
            draw_text(left - gap, y_of(value) + gap / 2, "end", number(value));
        }
        const auto last = static_cast<double>(m_seconds.size());
        for (int i = 0; i * m_x_step <= last; ++i) {
            const double second = i * m_x_step;
            draw_segment(x_of(second), top, x_of(second), height - bottom);
            draw_text(x_of(second), height - bottom + line_height, "middle", number(second));
        }
    }

    template <class Value>
    void draw_line(std::string_view colour, Value value)
    {
        // Each point is plotted at the middle of its second.
        constexpr double middle = 0.5;
        m_out << R"(<polyline fill="none" stroke=")" << colour << R"(" points=")";
        for (std::size_t i = 0; i < m_seconds.size(); ++i) {
            m_out << (i == 0 ? "" : " ") << x_of(static_cast<double>(i) + middle) << ','
                  << y_of(static_cast<double>(value(m_seconds[i]).value()));
        }
        m_out << R"("/>)" << '\n';
    }

    const std::vector<goodput_counts>& m_seconds;
    double m_x_step;
    double m_y_step = 1;
    std::ostringstream m_out;
};

} // namespace

std::string to_svg(const std::vector<goodput_counts>& seconds)
{
    return plot(seconds).draw();
}

} // namespace damaskladder::load
