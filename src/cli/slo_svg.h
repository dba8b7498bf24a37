// Renders the burn rates of all service-level objectives as an SVG chart.
#pragma once

#include "metrics/slo.h"

#include <string>
#include <vector>

namespace cardamompaddle {

// Returns an SVG document with two bars for each row, for the short and the long window, and a line
// at each window's alert threshold. Bars are clipped at the end of the scale; the number beside a
// bar is exact to two decimals.
std::string renderSloSvg(const std::vector<SloRow> &rows);

} // namespace cardamompaddle
