#include "Bench/LineFit.h"

#include <algorithm>
#include <cmath>

namespace wasabi::bench {

LineFit fitLine(const std::vector<Point> &Points) {
  double n = static_cast<double>(Points.size());
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  for (const Point &it : Points) {
    sumX += it.Size;
    sumY += it.Value;
    sumXX += it.Size * it.Size;
    sumXY += it.Size * it.Value;
  }
  LineFit fit;
  fit.Slope = (n * sumXY - sumX * sumY) / (n * sumXX - sumX * sumX);
  fit.Base = (sumY - fit.Slope * sumX) / n;

  double squares = 0;
  for (const Point &it : Points) {
    double off = it.Value - fit.at(it.Size);
    squares += off * off;
  }
  fit.Residual = std::sqrt(squares / n);
  return fit;
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  double last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::lround(Share * last))];
}

} // namespace wasabi::bench
