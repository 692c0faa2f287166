// Renders line plots and bar plots as SVG.
#ifndef MANGOCART_TESTS_EXPERTS_SVGPLOT_H
#define MANGOCART_TESTS_EXPERTS_SVGPLOT_H

#include <string>
#include <vector>

namespace mangocart::test {

struct PlotSeries {
  std::string m_Name;
  // Spaced evenly over the whole width; a single value for bars.
  std::vector<double> m_Values;
};

struct Plot {
  std::string m_Title;
  std::string m_XLabel;
  std::string m_YLabel;
  // X value at the right edge; the left edge is 0.
  double m_XEnd = 1;
  double m_YBegin = 0;
  std::vector<PlotSeries> m_Series;
};

std::string drawLines(const Plot &Drawn);
std::string drawBars(const Plot &Drawn);

} // namespace mangocart::test

#endif
