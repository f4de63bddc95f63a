#include "Wasabi/LoadExchange/LoadReport.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace wasabi {

namespace json = boost::json;

namespace {

/// Rates and latencies are written as whole tenths.
constexpr double Tenths = 10;
/// Bounds of a plausible report. One above them has a faulty writer.
constexpr std::uint64_t MaxTenths = 100'000'000;
constexpr std::uint64_t MaxCount = 1'000'000;
constexpr std::uint64_t MinIntervalMs = 100;
constexpr std::uint64_t MaxIntervalMs = 60'000;

std::uint64_t toTenths(double Value) {
  return static_cast<std::uint64_t>(std::llround(
      std::clamp(Value * Tenths, 0.0, static_cast<double>(MaxTenths))));
}

std::uint64_t toCount(std::uint32_t Value) {
  return std::min<std::uint64_t>(Value, MaxCount);
}

/// Serializes a service. The lists are arrays without member names, since all
/// processes read each report.
json::object encodeService(const ServiceName &Name,
                           const ReportedService &Service) {
  json::array customers;
  for (const auto &[name, load] : Service.Customers)
    customers.push_back(json::array{name.Text, toTenths(load.ArrivalRate),
                                    toCount(load.InFlight)});
  json::array servers;
  for (const auto &[id, server] : Service.Servers)
    servers.push_back(
        json::array{id.Server.Text, id.Start, toTenths(server.LatencyMs),
                    toCount(server.Samples), toCount(server.InFlight)});
  json::object out{{"n", Name.Text}};
  if (!customers.empty())
    out["c"] = std::move(customers);
  if (Service.OtherCustomers > 0)
    out["o"] = json::array{toCount(Service.OtherCustomers),
                           toTenths(Service.Others.ArrivalRate),
                           toCount(Service.Others.InFlight)};
  if (!servers.empty())
    out["h"] = std::move(servers);
  return out;
}

std::string encodeAll(const LoadReport &Report) {
  json::array services;
  for (const auto &[name, service] : Report.Services)
    services.push_back(encodeService(name, service));
  return json::serialize(json::object{{"i", Report.Life},
                                      {"q", Report.Sequence},
                                      {"p", Report.Interval.count()},
                                      {"s", std::move(services)}});
}

/// Reads an array of a fixed number of values, the first of which may be a
/// text.
class RowReader {
public:
  RowReader(JsonReader &Owner, std::string_view Key, const json::value &Value,
            std::size_t Size)
      : Owner(Owner), Key(Key), Cells(Value.if_array()) {
    if (Cells != nullptr && Cells->size() == Size)
      return;
    Cells = nullptr;
    Owner.fail(Key, "must have rows of " + std::to_string(Size) + " values");
  }

  std::string text() {
    const json::value *cell = next();
    const json::string *text = cell != nullptr ? cell->if_string() : nullptr;
    if (text != nullptr)
      return std::string(text->data(), text->size());
    Owner.fail(Key, "must begin with a name");
    return {};
  }

  std::uint64_t number(std::uint64_t Max) {
    const json::value *cell = next();
    boost::system::error_code ec;
    std::uint64_t given = 0;
    if (cell != nullptr && !cell->is_double())
      given = cell->to_number<std::uint64_t>(ec);
    if (cell != nullptr && !cell->is_double() && !ec && given <= Max)
      return given;
    Owner.fail(Key, "must hold whole numbers of 0 to " + std::to_string(Max));
    return 0;
  }

  double tenths() { return static_cast<double>(number(MaxTenths)) / Tenths; }
  std::uint32_t count() { return static_cast<std::uint32_t>(number(MaxCount)); }
  CustomerLoad load() {
    CustomerLoad load;
    load.ArrivalRate = tenths();
    load.InFlight = count();
    return load;
  }

private:
  const json::value *next() {
    return Cells != nullptr ? &Cells->at(Position++) : nullptr;
  }

  JsonReader &Owner;
  std::string_view Key;
  const json::array *Cells;
  std::size_t Position = 0;
};

/// Returns the elements of an optional array.
std::vector<const json::value *> readRows(JsonReader &Reader,
                                          std::string_view Key) {
  std::vector<const json::value *> rows;
  if (!Reader.has(Key))
    return rows;
  const json::value *value = Reader.requiredValue(Key);
  const json::array *all = value->if_array();
  if (all == nullptr) {
    Reader.fail(Key, "must be an array");
    return rows;
  }
  for (const json::value &it : *all)
    rows.push_back(&it);
  return rows;
}

ReportedService decodeService(JsonReader &Reader) {
  ReportedService service;
  for (const json::value *it : readRows(Reader, "c")) {
    RowReader row(Reader, "c", *it, 3);
    CustomerName name(row.text());
    if (!service.Customers.emplace(std::move(name), row.load()).second)
      Reader.fail("c", "names a customer twice");
  }
  if (service.Customers.size() > MaxReportedCustomers)
    Reader.fail("c", "names too many customers");
  if (Reader.has("o")) {
    RowReader row(Reader, "o", *Reader.requiredValue("o"), 3);
    service.OtherCustomers = row.count();
    service.Others = row.load();
  }
  for (const json::value *it : readRows(Reader, "h")) {
    RowReader row(Reader, "h", *it, 5);
    ServerIncarnation id;
    id.Server = ServerName(row.text());
    id.Start = row.number(std::numeric_limits<std::uint64_t>::max());
    ReportedServer server;
    server.LatencyMs = row.tenths();
    server.Samples = row.count();
    server.InFlight = row.count();
    if (!service.Servers.emplace(std::move(id), server).second)
      Reader.fail("h", "names a server twice");
  }
  return service;
}

/// Returns the elements of `All` in descending order of `Weigh`, at most `Max`.
template <typename Map, typename Weight>
std::vector<typename Map::const_iterator>
largest(const Map &All, std::size_t Max, const Weight &Weigh) {
  std::vector<typename Map::const_iterator> order;
  for (auto it = All.begin(); it != All.end(); ++it)
    order.push_back(it);
  std::stable_sort(order.begin(), order.end(),
                   [&](const auto &Left, const auto &Right) {
                     return Weigh(Left->second) > Weigh(Right->second);
                   });
  if (order.size() > Max)
    order.resize(Max);
  return order;
}

} // namespace

LoadReport limitReport(const LoadReport &Report, std::size_t MaxCustomers,
                       std::size_t MaxServers) {
  LoadReport limited = Report;
  for (auto &[name, service] : limited.Services) {
    const ReportedService &full = Report.Services.at(name);
    service.Customers.clear();
    service.Servers.clear();
    for (const auto &it :
         largest(full.Customers, MaxCustomers, [](const CustomerLoad &Load) {
           return std::pair(Load.InFlight, Load.ArrivalRate);
         }))
      service.Customers.insert(*it);
    for (const auto &[customer, load] : full.Customers) {
      if (service.Customers.contains(customer))
        continue;
      ++service.OtherCustomers;
      service.Others.ArrivalRate += load.ArrivalRate;
      service.Others.InFlight += load.InFlight;
    }
    for (const auto &it :
         largest(full.Servers, MaxServers, [](const ReportedServer &Server) {
           return std::pair(Server.Samples, Server.InFlight);
         }))
      service.Servers.insert(*it);
  }
  return limited;
}

std::string encodeReport(const LoadReport &Report) {
  constexpr std::size_t MaxServers = 64;
  std::size_t customers = MaxReportedCustomers;
  std::size_t servers = MaxServers;
  LoadReport limited = limitReport(Report, customers, servers);
  std::string text = encodeAll(limited);
  while (text.size() > MaxReportBytes && !limited.Services.empty()) {
    if (customers == 0 && servers == 0)
      limited.Services.erase(std::prev(limited.Services.end()));
    customers /= 2;
    servers /= 2;
    limited = limitReport(limited, customers, servers);
    text = encodeAll(limited);
  }
  return text;
}

Result<LoadReport> decodeReport(std::string_view Text,
                                const std::string &Place) {
  if (Text.size() > MaxReportBytes)
    return badInput(Place, "is larger than " + std::to_string(MaxReportBytes) +
                               " bytes: " + std::to_string(Text.size()));
  BOOST_LEAF_AUTO(value, parseJson(Text, Place));
  JsonReader root(value, Place);
  root.allowUnknown();
  LoadReport report;
  report.Life = root.number("i", 1);
  report.Sequence = root.number("q", 1);
  report.Interval = Millis(root.number("p", MinIntervalMs, MaxIntervalMs));
  for (JsonReader &it : root.objects("s", true)) {
    it.allowUnknown();
    ServiceName name(it.text("n"));
    if (!report.Services.emplace(std::move(name), decodeService(it)).second)
      it.fail("n", "names a service twice");
    root.mergeError(it);
  }
  BOOST_LEAF_CHECK(root.finish());
  return report;
}

} // namespace wasabi
