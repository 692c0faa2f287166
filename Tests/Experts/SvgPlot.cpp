// Rendering of plots as SVG text.
#include "SvgPlot.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace mangocart::test {

namespace {

constexpr double Width = 900;
constexpr double Height = 420;
constexpr double Left = 80;
constexpr double Right = 20;
constexpr double Top = 40;
constexpr double Bottom = 50;
constexpr int Ticks = 5;
constexpr std::array<const char *, 8> Colours{"#888888", "#d62728", "#1f77b4",
                                              "#2ca02c", "#9467bd", "#ff7f0e",
                                              "#17becf", "#8c564b"};

const char *colour(std::size_t Index) {
  return Colours[Index % Colours.size()];
}

std::string text(double X, double Y, const char *Anchor,
                 const std::string &Words) {
  return fmt::format(
      "<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n", X, Y,
      Anchor, Words);
}

class Drawing {
public:
  explicit Drawing(const Plot &Drawn) : m_Plot(Drawn) {
    for (const PlotSeries &S : Drawn.m_Series)
      for (const double Value : S.m_Values)
        m_YEnd = std::max(m_YEnd, Value);
    if (m_YEnd <= Drawn.m_YBegin)
      m_YEnd = Drawn.m_YBegin + 1;
    m_Text = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" "
                         "viewBox=\"0 0 {0} {1}\" font-family=\"sans-serif\" "
                         "font-size=\"12\">\n"
                         "<rect width=\"{0}\" height=\"{1}\" "
                         "fill=\"white\"/>\n",
                         Width, Height);
    m_Text += text(Width / 2, Top / 2, "middle", Drawn.m_Title);
    m_Text += text(Width / 2, Height - 8, "middle", Drawn.m_XLabel);
    m_Text += text(8, Top - 8, "start", Drawn.m_YLabel);
    drawYAxis();
  }

  double y(double Value) const {
    const double Fraction =
        (Value - m_Plot.m_YBegin) / (m_YEnd - m_Plot.m_YBegin);
    return Height - Bottom - Fraction * (Height - Top - Bottom);
  }

  static double x(double Fraction) {
    return Left + Fraction * (Width - Left - Right);
  }

  void add(const std::string &Text) { m_Text += Text; }
  std::string finish() { return m_Text + "</svg>\n"; }

private:
  void drawYAxis() {
    for (int I = 0; I <= Ticks; ++I) {
      const double Value =
          m_Plot.m_YBegin + (m_YEnd - m_Plot.m_YBegin) * I / Ticks;
      m_Text += fmt::format("<line x1=\"{:.1f}\" x2=\"{:.1f}\" y1=\"{:.1f}\" "
                            "y2=\"{:.1f}\" stroke=\"#dddddd\"/>\n",
                            x(0), x(1), y(Value), y(Value));
      m_Text +=
          text(Left - 6, y(Value) + 4, "end", fmt::format("{:.4g}", Value));
    }
  }

  const Plot &m_Plot;
  double m_YEnd = 0;
  std::string m_Text;
};

} // namespace

std::string drawLines(const Plot &Drawn) {
  Drawing D(Drawn);
  for (int I = 0; I <= Ticks; ++I) {
    const double Fraction = static_cast<double>(I) / Ticks;
    D.add(text(Drawing::x(Fraction), Height - Bottom + 16, "middle",
               fmt::format("{:.4g}", Drawn.m_XEnd * Fraction)));
  }
  for (std::size_t S = 0; S < Drawn.m_Series.size(); ++S) {
    const PlotSeries &Series = Drawn.m_Series[S];
    std::string Points;
    const auto Last = static_cast<double>(
        std::max<std::size_t>(2, Series.m_Values.size()) - 1);
    for (std::size_t I = 0; I < Series.m_Values.size(); ++I)
      Points += fmt::format("{:.1f},{:.1f} ",
                            Drawing::x(static_cast<double>(I) / Last),
                            D.y(Series.m_Values[I]));
    D.add(fmt::format("<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/>\n",
                      colour(S), Points));
    const double Y = Top + 16 * static_cast<double>(S + 1);
    D.add(fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"12\" "
                      "height=\"4\" fill=\"{}\"/>\n",
                      Width - 220, Y - 6, colour(S)));
    D.add(text(Width - 200, Y, "start", Series.m_Name));
  }
  return D.finish();
}

std::string drawBars(const Plot &Drawn) {
  Drawing D(Drawn);
  const auto Count = static_cast<double>(Drawn.m_Series.size());
  for (std::size_t S = 0; S < Drawn.m_Series.size(); ++S) {
    const PlotSeries &Series = Drawn.m_Series[S];
    const double From = Drawing::x((static_cast<double>(S) + 0.15) / Count);
    const double To = Drawing::x((static_cast<double>(S) + 0.85) / Count);
    const double Value = Series.m_Values.front();
    D.add(fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
                      "height=\"{:.1f}\" fill=\"{}\"/>\n",
                      From, D.y(Value), To - From,
                      D.y(Drawn.m_YBegin) - D.y(Value), colour(S)));
    const double Middle = (From + To) / 2;
    D.add(text(Middle, D.y(Value) - 4, "middle", fmt::format("{:.4g}", Value)));
    D.add(text(Middle, Height - Bottom + 16, "middle", Series.m_Name));
  }
  return D.finish();
}

} // namespace mangocart::test
