#include "Wasabi/LoadExchange/FairShare.h"

#include <algorithm>
#include <cmath>

namespace wasabi {

double totalDemand(const ServiceDemand &Demand) {
  double sum = Demand.Others;
  for (const auto &[customer, demand] : Demand.Customers)
    sum += demand;
  return sum;
}

std::optional<double> fairLevel(std::vector<ShareClaim> Claims, double Room) {
  std::erase_if(Claims, [](const ShareClaim &It) {
    return It.Demand <= 0 || It.Weight <= 0;
  });
  // Claims with the least demand for their weight are satisfied first.
  std::sort(Claims.begin(), Claims.end(),
            [](const ShareClaim &Left, const ShareClaim &Right) {
              return Left.Demand * Right.Weight < Right.Demand * Left.Weight;
            });
  double weight = 0;
  for (const ShareClaim &it : Claims)
    weight += it.Weight;
  double left = std::max(Room, 0.0);
  for (const ShareClaim &it : Claims) {
    double level = left / weight;
    if (it.Demand > level * it.Weight)
      return level;
    left -= it.Demand;
    weight -= it.Weight;
  }
  return std::nullopt;
}

std::optional<FairShare> fairShareOf(const ServiceDemand &Own,
                                     const std::vector<ServiceDemand> &Others,
                                     double Room) {
  std::map<CustomerName, ShareClaim> named;
  ShareClaim unnamed{0, 0};
  auto add = [&](const ServiceDemand &Demand) {
    for (const auto &[customer, demand] : Demand.Customers)
      named[customer].Demand += demand;
    unnamed.Demand += Demand.Others;
    unnamed.Weight = std::max<double>(unnamed.Weight, Demand.OtherCustomers);
  };
  add(Own);
  for (const ServiceDemand &it : Others)
    add(it);
  std::vector<ShareClaim> claims{unnamed};
  for (const auto &[customer, claim] : named)
    claims.push_back(claim);
  std::optional<double> level = fairLevel(std::move(claims), Room);
  if (!level)
    return std::nullopt;
  // A claim above the level is scaled down equally at all processes.
  auto portionOf = [&](double Demand, const ShareClaim &Claim) {
    double share = std::min(Claim.Demand, *level * Claim.Weight);
    return Claim.Demand > 0 ? Demand * share / Claim.Demand : 0;
  };
  FairShare share;
  double sum = portionOf(Own.Others, unnamed);
  for (const auto &[customer, demand] : Own.Customers) {
    double portion = portionOf(demand, named.at(customer));
    share.Customers[customer] = portion;
    sum += portion;
  }
  // Rounding errors of the sum must not add a request.
  constexpr double Tolerance = 1e-6;
  share.Concurrency =
      static_cast<std::uint32_t>(std::max(1.0, std::ceil(sum - Tolerance)));
  return share;
}

} // namespace wasabi
