#include "cli/slo_svg.h"

#include "cli/table_printer.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cardamompaddle {
namespace {

// Sizes in pixels.
constexpr int LabelWidth = 220;
constexpr int BarWidth = 480;
constexpr int ValueWidth = 80;
constexpr int BarHeight = 12;
constexpr int RowHeight = 40;
constexpr int HeaderHeight = 50;
// Burn rate at the end of the scale; it places the higher threshold at 4/5 of the width.
constexpr double MaxBurn = SloShortThreshold * 1.25;

std::string escapeXml(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        if (c == '&')
            out += "&amp;";
        else if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else
            out += c;
    }
    return out;
}

std::string formatDecimal(double value)
{
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.2f", value);
    return buf.data();
}

int barLength(double burn)
{
    return static_cast<int>(std::min(burn, MaxBurn) / MaxBurn * BarWidth);
}

std::string text(int x, int y, const std::string &content)
{
    return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\">"
           + escapeXml(content) + "</text>\n";
}

std::string bar(int y, double burn, double threshold, const char *color)
{
    const int length = barLength(burn);
    const std::string fill = burn > threshold ? "#c0392b" : color;
    return "<rect x=\"" + std::to_string(LabelWidth) + "\" y=\"" + std::to_string(y) + "\" width=\""
           + std::to_string(length) + "\" height=\"" + std::to_string(BarHeight) + "\" fill=\""
           + fill + "\"/>\n"
           + text(LabelWidth + length + 6, y + BarHeight - 2, formatDecimal(burn));
}

std::string thresholdLine(double threshold, int height, const std::string &label)
{
    const std::string x = std::to_string(LabelWidth + barLength(threshold));
    return "<line x1=\"" + x + "\" y1=\"" + std::to_string(HeaderHeight - 8) + "\" x2=\"" + x
           + "\" y2=\"" + std::to_string(height) + "\" stroke=\"#888\" stroke-dasharray=\"4 3\"/>\n"
           + text(LabelWidth + barLength(threshold) - 30, HeaderHeight - 12, label);
}

} // namespace

std::string renderSloSvg(const std::vector<SloRow> &rows)
{
    const int width = LabelWidth + BarWidth + ValueWidth;
    const int height = HeaderHeight + RowHeight * static_cast<int>(rows.size());
    std::string out =
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(width)
        + "\" height=\"" + std::to_string(height)
        + "\" font-family=\"sans-serif\" font-size=\"12\">\n"
          "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        + text(
            8, 18,
            "Burn rate of the error budget: upper bar 5 min, lower bar 1 h; red: above threshold");
    out += thresholdLine(SloShortThreshold, height, "5 min: " + formatDecimal(SloShortThreshold));
    out += thresholdLine(SloLongThreshold, height, "1 h: " + formatDecimal(SloLongThreshold));
    int y = HeaderHeight;
    for (const SloRow &it : rows) {
        out += text(8, y + 16, printable(it.route) + (it.alerting() ? " (alert)" : ""));
        out += bar(y, it.shortBurn(), SloShortThreshold, "#2980b9");
        out += bar(y + BarHeight + 3, it.longBurn(), SloLongThreshold, "#7fb3d5");
        y += RowHeight;
    }
    return out + "</svg>\n";
}

} // namespace cardamompaddle
