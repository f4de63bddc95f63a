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

AccessDecision decideAccess(const std::optional<CustomerTable> &Known,
                            const AccessRequest &Ask,
                            const StoreContact &Contact,
                            const AccessSettings &Limits, TimePoint Now) {
  if (!Known)
    return {AccessVerdict::Granted, std::nullopt};
  const Customer *holder = Ask.Key ? Known->holderOf(*Ask.Key) : nullptr;
  if (holder != nullptr) {
    bool withdrawn = Limits.StrictRevocation &&
                     unreachableFor(Contact, Limits.MaxRevocationDelay, Now);
    if (!withdrawn)
      return {AccessVerdict::Granted, *holder};
    return {Ask.Public ? AccessVerdict::Granted : AccessVerdict::Uncertain,
            std::nullopt};
  }
  if (Ask.Public)
    return {AccessVerdict::Granted, std::nullopt};
  bool mayBeNew = Ask.Key.has_value() && Contact.Lost;
  return {mayBeNew ? AccessVerdict::Uncertain : AccessVerdict::UnknownKey,
          std::nullopt};
}

std::uint32_t priorityOf(const std::optional<Customer> &By,
                         std::uint32_t RoutePriority) {
  return By && By->Priority ? *By->Priority : RoutePriority;
}

} // namespace wasabi
