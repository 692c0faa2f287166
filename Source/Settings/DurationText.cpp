// Number and unit of a duration.
#include "Settings/DurationText.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace mangocart {

namespace {

constexpr std::array<std::pair<std::string_view, double>, 3> UnitsInMs{
    {{"ms", 1.0}, {"s", 1000.0}, {"min", 60000.0}}};

} // namespace

std::optional<double> parseMilliseconds(std::string_view Text) {
  const char *const End = Text.data() + Text.size();
  double Number = 0;
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || !std::isfinite(Number))
    return std::nullopt;
  std::string_view Unit(Rest, static_cast<std::size_t>(End - Rest));
  Unit.remove_prefix(std::min(Unit.find_first_not_of(' '), Unit.size()));
  for (const auto &[Name, Milliseconds] : UnitsInMs)
    if (Unit == Name)
      return Number * Milliseconds;
  return std::nullopt;
}

} // namespace mangocart
