/// \file
/// Stores bulk data (submitted items and generated texts) in a topic of its
/// own. Records of the rollout topic, which every process reads, refer to the
/// data by location.
#ifndef WASABI_BATCH_PAYLOADSTORE_H
#define WASABI_BATCH_PAYLOADSTORE_H

#include "Wasabi/Batch/BatchJob.h"
#include "Wasabi/Ports/RecordStore.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabi {

/// Which records a read fetches in addition to the requested one.
enum class ReadAhead : std::uint8_t {
  /// The following records, up to `Settings::MaxReadBytes`.
  Neighbours,
  /// None. For reads of many scattered payloads, which share the store's
  /// bandwidth.
  None,
};

/// Appends and reads payloads, with a cache. Not thread-safe: used only on the
/// thread of the store's port.
class PayloadStore : public std::enable_shared_from_this<PayloadStore> {
public:
  struct Settings {
    std::string Topic = "payload";
    /// Time limit of an append.
    Millis AppendTimeout{800};
    /// Maximum size of a record in bytes; below the store's own limit.
    std::size_t MaxRecordBytes = 64000;
    /// Maximum size of one append in bytes; the store's own limit is twice
    /// that.
    std::size_t MaxAppendBytes = 1000000;
    /// Maximum size of one read in bytes, unless a single record is longer.
    /// Payloads that are read together are stored next to each other, so
    /// records that follow the requested one are cached, too.
    std::size_t MaxReadBytes = 128u << 10;
    /// Maximum size of the cache in bytes; holds what a reader fetches within
    /// about a second, at 1 MB/s.
    std::size_t MaxCacheBytes = 2u << 20;
  };

  static std::shared_ptr<PayloadStore> create(RecordStore Store,
                                              Settings Limits);

  /// Appends payloads in records of at most `MaxRecordBytes` and returns the
  /// location of each. A failed call may leave records that nothing refers to;
  /// it can be repeated safely, so failures are always `NotRun`. Copies the
  /// records of one append at a time. Precondition: `Payloads` outlives the
  /// call.
  boost::asio::awaitable<Outcome<std::vector<PayloadLocation>>>
  put(const std::vector<std::string> &Payloads);

  /// Returns the bytes at a location. Failures: `Expired` if the store no
  /// longer has them, otherwise those of the store.
  boost::asio::awaitable<Outcome<std::string>>
  get(PayloadLocation Location, ReadAhead Ahead = ReadAhead::Neighbours);

  const Settings &settings() const { return Limits; }

private:
  PayloadStore(RecordStore Store, Settings Limits);
  boost::asio::awaitable<Outcome<Done>> load(PayloadRecordRef Record,
                                             ReadAhead Ahead);
  void addToCache(Offset At, std::string Bytes);

  const Settings Limits;
  const RecordStore Store;
  std::map<Offset, std::string> Cache;
  /// Offsets in `Cache`, oldest first.
  std::deque<Offset> CacheOrder;
  std::size_t CachedBytes = 0;
};

/// Returns the items of `Job` at `Location`. Failures: those of
/// `PayloadStore::get`; `BadInput` if the payload is not a list of items.
boost::asio::awaitable<Outcome<std::vector<BatchItem>>>
getItems(PayloadStore &Payloads, PayloadLocation Location, JobId Job);

} // namespace wasabi

#endif // WASABI_BATCH_PAYLOADSTORE_H
