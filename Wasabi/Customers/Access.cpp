#include "Wasabi/Customers/Access.h"

namespace wasabi {

std::string_view toText(AccessVerdict Verdict) {
  switch (Verdict) {
  case AccessVerdict::Granted:
    return "granted";
  case AccessVerdict::UnknownKey:
    return "unknown-key";
  case AccessVerdict::Uncertain:
    return "unsure";
  }
  return "unsure";
}

AccessDecision decideAccess(const std::optional<CustomerTable> &Customers,
                            const AccessRequest &Request,
                            const StoreContact &Contact,
                            const AccessSettings &Limits, TimePoint Now) {
  if (!Customers)
    return {AccessVerdict::Granted, std::nullopt};
  const Customer *holder =
      Request.Key ? Customers->holderOf(*Request.Key) : nullptr;
  if (holder != nullptr) {
    bool mayBeRevoked = Limits.StrictRevocation &&
                        unreachableFor(Contact, Limits.MaxRevocationDelay, Now);
    if (!mayBeRevoked)
      return {AccessVerdict::Granted, *holder};
    return {Request.Public ? AccessVerdict::Granted : AccessVerdict::Uncertain,
            std::nullopt};
  }
  if (Request.Public)
    return {AccessVerdict::Granted, std::nullopt};
  bool mayBeNew = Request.Key.has_value() && Contact.Lost;
  return {mayBeNew ? AccessVerdict::Uncertain : AccessVerdict::UnknownKey,
          std::nullopt};
}

std::uint32_t priorityOf(const std::optional<Customer> &Owner,
                         std::uint32_t RoutePriority) {
  return Owner && Owner->Priority ? *Owner->Priority : RoutePriority;
}

} // namespace wasabi
