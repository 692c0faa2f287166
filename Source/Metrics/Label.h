// Name and value of one label of a metric.
#ifndef MANGOCART_METRICS_LABEL_H
#define MANGOCART_METRICS_LABEL_H

#include <compare>
#include <string>
#include <vector>

namespace mangocart {

struct Label {
  std::string m_Name;
  std::string m_Value;

  auto operator<=>(const Label &) const = default;
};

using Labels = std::vector<Label>;

} // namespace mangocart

#endif
