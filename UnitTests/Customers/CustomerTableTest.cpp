#include "Wasabi/Customers/CustomerTable.h"
#include "UnitTests/Core/Property.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <type_traits>

namespace wasabi {

namespace {

const KeyDigester &keys() {
  static const KeyDigester Keys = KeyDigester::create().value();
  return Keys;
}

CustomerTable::Entry entry(const std::string &Name,
                           const std::vector<std::string> &Keys) {
  CustomerTable::Entry made;
  made.Who.Name = CustomerName(Name);
  for (const std::string &it : Keys)
    made.Keys.push_back(keys().digest(it));
  return made;
}

/// Returns the name of a key's holder; empty if it has none.
std::string holder(const CustomerTable &Table, const std::string &Key) {
  const Customer *found = Table.holderOf(keys().digest(Key));
  return found == nullptr ? "" : found->Name.Text;
}

template <typename T, typename = void> struct IsPrintable : std::false_type {};
template <typename T>
struct IsPrintable<T, std::void_t<decltype(std::declval<std::ostream &>()
                                           << std::declval<T>())>>
    : std::true_type {};

} // namespace

TEST_CASE("Each key of a customer identifies it", "[customers]") {
  CustomerTable table = CustomerTable::create(
      {entry("anna", {"a1", "a2"}), entry("bert", {"b1"}), entry("carl", {})});
  CHECK(holder(table, "a1") == "anna");
  CHECK(holder(table, "a2") == "anna");
  CHECK(holder(table, "b1") == "bert");
  CHECK(holder(table, "c1").empty());
  CHECK(holder(table, "").empty());
  CHECK(table.customers() == 3);
  CHECK(table.keys() == 3);
  REQUIRE(table.find(CustomerName("carl")) != nullptr);
  CHECK(table.find(CustomerName("dora")) == nullptr);
}

TEST_CASE("A key that is listed for several customers has no holder",
          "[customers]") {
  CustomerTable table = CustomerTable::create({entry("anna", {"shared", "a"}),
                                               entry("bert", {"b", "shared"}),
                                               entry("carl", {"shared"})});
  CHECK(holder(table, "shared").empty());
  CHECK(holder(table, "a") == "anna");
  CHECK(holder(table, "b") == "bert");
  CHECK(table.ambiguousKeys() == 1);
  // A key that is listed twice for one customer is not ambiguous.
  CustomerTable twice = CustomerTable::create({entry("anna", {"a", "a"})});
  CHECK(holder(twice, "a") == "anna");
}

TEST_CASE("A customer whose name is not valid in a header is skipped",
          "[customers]") {
  CustomerTable table =
      CustomerTable::create({entry("", {"k1"}), entry("two\r\nlines", {"k2"}),
                             entry("a b", {"k3"}), entry("anna", {"k4"})});
  for (const char *key : {"k1", "k2", "k3"})
    CHECK(holder(table, key).empty());
  CHECK(holder(table, "k4") == "anna");
  CHECK(table.rejectedCustomers() == 3);
}

TEST_CASE("Digests of a key are equal for the same digester only",
          "[customers]") {
  CHECK(keys().digest("key") == keys().digest("key"));
  CHECK_FALSE(keys().digest("key") == keys().digest("kez"));
  KeyDigester other = KeyDigester::create().value();
  CHECK_FALSE(keys().digest("key") == other.digest("key"));
  CHECK_FALSE(IsPrintable<KeyDigest>::value);
  CHECK_FALSE(IsPrintable<KeyDigester>::value);
}

TEST_CASE("Keys of arbitrary bytes identify their own holders only",
          "[customers]") {
  test::holds([](const std::map<std::string, std::uint8_t> &Holders) {
    std::map<std::uint8_t, std::vector<std::string>> byCustomer;
    for (const auto &[key, customer] : Holders)
      byCustomer[customer].push_back(key);
    std::vector<CustomerTable::Entry> entries;
    entries.reserve(byCustomer.size());
    for (const auto &[customer, keys] : byCustomer)
      entries.push_back(entry(std::to_string(customer), keys));
    CustomerTable table = CustomerTable::create(entries);
    for (const auto &[key, customer] : Holders) {
      RC_ASSERT(holder(table, key) == std::to_string(customer));
      std::string longer = key + '\0';
      auto found = Holders.find(longer);
      RC_ASSERT(holder(table, longer) ==
                (found == Holders.end() ? "" : std::to_string(found->second)));
    }
  });
}

TEST_CASE("A customer name of arbitrary bytes is kept unchanged or skipped",
          "[customers]") {
  test::holds([](const std::string &Name) {
    CustomerTable table = CustomerTable::create({entry(Name, {"key"})});
    std::string name = holder(table, "key");
    RC_ASSERT(name.empty() || name == Name);
    for (unsigned char it : name)
      RC_ASSERT(it > ' ' && it <= '~');
  });
}

} // namespace wasabi
