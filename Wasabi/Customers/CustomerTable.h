/// \file
/// The customers of a configuration and the keys that they hold.
#ifndef WASABI_CUSTOMERS_CUSTOMERTABLE_H
#define WASABI_CUSTOMERS_CUSTOMERTABLE_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Customers/KeyDigest.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wasabi {

/// One customer. An immutable value.
struct Customer {
  CustomerName Name;
  /// Goes before the priority of a route; 0 is the most urgent. Empty where the
  /// configuration gives it none.
  std::optional<std::uint32_t> Priority;
  bool operator==(const Customer &) const = default;
};

/// All customers of one configuration. An immutable value; thread-safe.
class CustomerTable {
public:
  /// A customer and the keys that it holds: none, one or several.
  struct Entry {
    Customer Who;
    std::vector<KeyDigest> Keys;
  };

  /// A key that is listed for two customers is held by neither: to pick one
  /// would show it the other's jobs. A customer whose name is empty or could
  /// not stand in a header is left out, since servers could not be told of it.
  static CustomerTable create(const std::vector<Entry> &Entries);

  /// Who holds a key; null if nobody does. Takes the same time for any key.
  const Customer *holderOf(const KeyDigest &Key) const;
  /// The customer of a name, with keys or without; null if there is none.
  const Customer *find(const CustomerName &Of) const;

  std::size_t customers() const { return Customers.size(); }
  std::size_t keys() const { return Held.size(); }
  /// Keys that were listed for several customers.
  std::size_t ambiguousKeys() const { return Ambiguous; }
  /// Customers that were left out for their names.
  std::size_t rejectedCustomers() const { return RejectedCustomers; }
  bool operator==(const CustomerTable &) const = default;

private:
  /// Of one key; `Holder` counts the customers.
  struct HeldKey {
    KeyDigest Key;
    std::size_t Holder = 0;
    bool operator==(const HeldKey &) const = default;
  };

  std::vector<Customer> Customers;
  std::unordered_map<CustomerName, std::size_t> ByName;
  std::unordered_multimap<std::size_t, HeldKey> Held;
  std::size_t Ambiguous = 0;
  std::size_t RejectedCustomers = 0;
};

} // namespace wasabi

#endif // WASABI_CUSTOMERS_CUSTOMERTABLE_H
