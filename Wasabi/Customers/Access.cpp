#include "Wasabi/Customers/Access.h"

namespace wasabi {

std::string_view toText(AccessVerdict Verdict) {
  switch (Verdict) {
  case AccessDecisionVerdict::Granted:
    return "granted";
  case AccessDecisionVerdict::UnknownKey:
    return "unknown-key";
  case AccessDecisionVerdict::Uncertain:
    return "unsure";
  }
  return "unsure";
}

AccessDecision decideAccess(const std::optional<CustomerTable> &Known,
                            const AccessRequest &Ask,
                            const StoreContact &Contact,
                            const AccessSettings &Limits, TimePoint Now) {
  if (!Known)
    return {AccessDecisionVerdict::Granted, std::nullopt};
  const Customer *holder = Ask.Key ? Known->holderOf(*Ask.Key) : nullptr;
  if (holder != nullptr) {
    bool withdrawn = Limits.StrictRevocation &&
                     unreachableFor(Contact, Limits.MaxRevocationDelay, Now);
    if (!withdrawn)
      return {AccessDecisionVerdict::Granted, *holder};
    return {Ask.Public ? AccessDecisionVerdict::Granted
                       : AccessDecisionVerdict::Uncertain,
            std::nullopt};
  }
  if (Ask.Public)
    return {AccessDecisionVerdict::Granted, std::nullopt};
  bool mayBeNew = Ask.Key.has_value() && Contact.Lost;
  return {mayBeNew ? AccessDecisionVerdict::Uncertain
                   : AccessDecisionVerdict::UnknownKey,
          std::nullopt};
}

std::uint32_t priorityOf(const std::optional<Customer> &By,
                         std::uint32_t RoutePriority) {
  return By && By->Priority ? *By->Priority : RoutePriority;
}

} // namespace wasabi
