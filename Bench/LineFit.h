/// \file
/// A straight line through measured points, and how far they lie from it.
#ifndef WASABI_BENCH_LINEFIT_H
#define WASABI_BENCH_LINEFIT_H

#include <vector>

namespace wasabi::bench {

/// One measured point: a figure at a size.
struct Point {
  double Size = 0;
  double Value = 0;
};

/// Value = Base + Slope x Size.
struct LineFit {
  double Base = 0;
  double Slope = 0;
  /// Root mean square of the distances, in the figure's own unit.
  double Residual = 0;

  /// The line's value at a size.
  double at(double Size) const { return Base + Slope * Size; }
};

/// Least squares. Precondition: two points or more of different sizes. Pure.
LineFit fitLine(const std::vector<Point> &Points);

/// The value below which `Share` (0 to 1) of the values lie; 0 for none. Pure.
double quantile(std::vector<double> Values, double Share);

} // namespace wasabi::bench

#endif // WASABI_BENCH_LINEFIT_H
