/// \file
/// Table of the customers of a configuration and their keys.
#ifndef WASABI_CUSTOMERS_CUSTOMERTABLE_H
#define WASABI_CUSTOMERS_CUSTOMERTABLE_H

#include "Wasabi/Core/Ids.h"
#include "Wasabi/Customers/KeyDigest.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wasabi {

/// Name and priority of a customer. An immutable value.
struct Customer {
  CustomerName Name;
  /// Overrides the priority of a route; 0 is the most urgent. Empty if the
  /// configuration sets none.
  std::optional<std::uint32_t> Priority;
  bool operator==(const Customer &) const = default;
};

/// All customers of one configuration. An immutable value; thread-safe.
class CustomerTable {
public:
  /// A customer and its keys, which may be empty.
  struct Entry {
    Customer Who;
    std::vector<KeyDigest> Keys;
  };

  /// Creates a table. A key that is listed for several customers belongs to
  /// none of them, as each would see the jobs of the others. Customers whose
  /// names are empty or not valid in a header are skipped.
  static CustomerTable create(const std::vector<Entry> &Entries);

  /// Returns the customer that holds a key; null if there is none. Comparisons
  /// of keys take constant time.
  const Customer *holderOf(const KeyDigest &Key) const;
  /// Returns the customer with a name; null if there is none.
  const Customer *find(const CustomerName &Name) const;

  std::size_t customers() const { return Customers.size(); }
  std::size_t keys() const { return HeldKeys.size(); }
  /// Number of keys that are listed for several customers.
  std::size_t ambiguousKeys() const { return AmbiguousKeyCount; }
  /// Number of customers that were skipped for their names.
  std::size_t rejectedCustomers() const { return RejectedCustomerCount; }
  bool operator==(const CustomerTable &) const = default;

private:
  /// A key and the index of its holder in `Customers`.
  struct HeldKey {
    KeyDigest Key;
    std::size_t Holder = 0;
    bool operator==(const HeldKey &) const = default;
  };

  std::vector<Customer> Customers;
  std::unordered_map<CustomerName, std::size_t> ByName;
  std::unordered_multimap<std::size_t, HeldKey> HeldKeys;
  std::size_t AmbiguousKeyCount = 0;
  std::size_t RejectedCustomerCount = 0;
};

} // namespace wasabi

#endif // WASABI_CUSTOMERS_CUSTOMERTABLE_H
