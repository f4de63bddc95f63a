#include "Wasabi/Customers/CustomerTable.h"

#include <algorithm>

namespace wasabi {

namespace {

/// Returns true if a name is not empty and consists of printable ASCII
/// characters without spaces.
bool isValidName(const CustomerName &Name) {
  return !Name.empty() &&
         std::all_of(Name.Text.begin(), Name.Text.end(), [](char Character) {
           return Character > ' ' && Character <= '~';
         });
}

} // namespace

CustomerTable CustomerTable::create(const std::vector<Entry> &Entries) {
  CustomerTable table;
  std::vector<HeldKey> ambiguous;
  for (const Entry &it : Entries) {
    if (!isValidName(it.Who.Name)) {
      ++table.RejectedCustomerCount;
      continue;
    }
    std::size_t index = table.Customers.size();
    table.Customers.push_back(it.Who);
    table.ByName.emplace(it.Who.Name, index);
    for (const KeyDigest &key : it.Keys) {
      const Customer *holder = table.holderOf(key);
      if (holder == nullptr)
        table.HeldKeys.emplace(key.bucket(), HeldKey{key, index});
      else if (holder->Name != it.Who.Name)
        ambiguous.push_back({key, index});
    }
  }
  for (const HeldKey &it : ambiguous) {
    auto [from, to] = table.HeldKeys.equal_range(it.Key.bucket());
    auto held = std::find_if(from, to, [&it](const auto &Entry) {
      return Entry.second.Key == it.Key;
    });
    if (held == to)
      continue;
    table.HeldKeys.erase(held);
    ++table.AmbiguousKeyCount;
  }
  return table;
}

const Customer *CustomerTable::holderOf(const KeyDigest &Key) const {
  auto [from, to] = HeldKeys.equal_range(Key.bucket());
  auto held = std::find_if(
      from, to, [&Key](const auto &Entry) { return Entry.second.Key == Key; });
  return held == to ? nullptr : &Customers[held->second.Holder];
}

const Customer *CustomerTable::find(const CustomerName &Name) const {
  auto found = ByName.find(Name);
  return found == ByName.end() ? nullptr : &Customers[found->second];
}

} // namespace wasabi
