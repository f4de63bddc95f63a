/// \file
/// Least-squares line fit and percentiles of measured values.
#ifndef WASABI_BENCH_LINEFIT_H
#define WASABI_BENCH_LINEFIT_H

#include <vector>

namespace wasabi::bench {

/// A measured value at a size.
struct Point {
  double Size = 0;
  double Value = 0;
};

/// Value = Base + Slope x Size.
struct LineFit {
  double Base = 0;
  double Slope = 0;
  /// Root mean square of the residuals, in the unit of the value.
  double Residual = 0;

  /// Returns the line's value at a size.
  double at(double Size) const { return Base + Slope * Size; }
};

/// Fits a line by least squares. Precondition: at least two points of different
/// sizes. Pure.
LineFit fitLine(const std::vector<Point> &Points);

/// Returns the quantile `Share` (0 to 1) of the values, or 0 if there are none.
/// Pure.
double quantile(std::vector<double> Values, double Share);

} // namespace wasabi::bench

#endif // WASABI_BENCH_LINEFIT_H
