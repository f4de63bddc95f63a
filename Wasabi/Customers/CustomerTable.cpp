#include "Wasabi/Customers/CustomerTable.h"

#include <algorithm>

namespace wasabi {

namespace {

/// Whether a name is one word of visible ASCII.
bool isUsable(const CustomerName &Of) {
  return !Of.empty() &&
         std::all_of(Of.Text.begin(), Of.Text.end(),
                     [](char Sign) { return Sign > ' ' && Sign <= '~'; });
}

} // namespace

CustomerTable CustomerTable::create(const std::vector<Entry> &Entries) {
  CustomerTable table;
  std::vector<HeldKey> ambiguous;
  for (const Entry &it : Entries) {
    if (!isUsable(it.Who.Name)) {
      ++table.RejectedCustomers;
      continue;
    }
    std::size_t number = table.Customers.size();
    table.Customers.push_back(it.Who);
    table.ByName.emplace(it.Who.Name, number);
    for (const KeyDigest &key : it.Keys) {
      const Customer *holder = table.holderOf(key);
      if (holder == nullptr)
        table.Held.emplace(key.bucket(), HeldKey{key, number});
      else if (holder->Name != it.Who.Name)
        ambiguous.push_back({key, number});
    }
  }
  for (const HeldKey &it : ambiguous) {
    auto [from, to] = table.Held.equal_range(it.Key.bucket());
    auto held = std::find_if(
        from, to, [&it](const auto &Of) { return Of.second.Key == it.Key; });
    if (held == to)
      continue;
    table.Held.erase(held);
    ++table.Ambiguous;
  }
  return table;
}

const Customer *CustomerTable::holderOf(const KeyDigest &Key) const {
  auto [from, to] = Held.equal_range(Key.bucket());
  auto held = std::find_if(
      from, to, [&Key](const auto &Of) { return Of.second.Key == Key; });
  return held == to ? nullptr : &Customers[held->second.Holder];
}

const Customer *CustomerTable::find(const CustomerName &Of) const {
  auto found = ByName.find(Of);
  return found == ByName.end() ? nullptr : &Customers[found->second];
}

} // namespace wasabi
