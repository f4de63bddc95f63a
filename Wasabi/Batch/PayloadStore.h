/// \file
/// Bytes that one or two processes need and the others do not: items as they
/// were submitted, and generated texts. They are kept in a topic of their own,
/// and records of the rollout topic, which every process follows, name them.
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

/// What is read beside the bytes that are asked for.
enum class ReadAhead : std::uint8_t {
  /// Those that lie behind them, up to `Settings::MaxReadBytes`.
  Neighbours,
  /// Nothing: hundreds of pieces that lie apart are wanted at once, and all
  /// reads share the store's bandwidth.
  None,
};

/// Used on one thread, that of the store's port.
class PayloadStore : public std::enable_shared_from_this<PayloadStore> {
public:
  struct Settings {
    std::string Topic = "payload";
    /// How long an append may take.
    Millis AppendTimeout{800};
    /// Longest record, in bytes; the store's own limit is above it.
    std::size_t MaxRecordBytes = 64000;
    /// Most bytes of one append; the store takes twice as many.
    std::size_t MaxAppendBytes = 1000000;
    /// Bytes of one read, unless a payload is longer. Payloads that are shown
    /// together lie side by side, so those behind the one asked for are kept.
    std::size_t MaxReadBytes = 128u << 10;
    /// Payloads kept in memory, in bytes: a second's worth at 1 MB/s, as long
    /// as a reader needs them.
    std::size_t MaxCacheBytes = 2u << 20;
  };

  static std::shared_ptr<PayloadStore> create(RecordStore Store,
                                              Settings Limits);

  /// Appends each payload, in records of at most `MaxRecordBytes`, and gives
  /// where each one lies. A failure leaves some that nobody names; it may be
  /// called again. Failures are `NotRun`: what no record names has no effect.
  boost::asio::awaitable<Outcome<std::vector<PayloadLocation>>>
  put(std::vector<std::string> Payloads);

  /// The bytes at a place. Failures: `Expired` when the store has them no more,
  /// those of the store otherwise.
  boost::asio::awaitable<Outcome<std::string>>
  get(PayloadLocation Place, ReadAhead More = ReadAhead::Neighbours);

  const Settings &settings() const { return Limits; }

private:
  PayloadStore(RecordStore Store, Settings Limits);
  boost::asio::awaitable<Outcome<Done>> load(PayloadRecordRef What,
                                             ReadAhead More);
  void keep(Offset At, std::string Bytes);

  const Settings Limits;
  const RecordStore Store;
  std::map<Offset, std::string> Kept;
  /// Offsets in `Kept`, the oldest first.
  std::deque<Offset> Order;
  std::size_t KeptBytes = 0;
};

/// The items of `Of` that lie at `Place`. Failures: those of
/// `PayloadStore::get`; `BadInput` when these are no items.
boost::asio::awaitable<Outcome<std::vector<BatchItem>>>
getItems(PayloadStore &From, PayloadLocation Place, JobId Of);

} // namespace wasabi

#endif // WASABI_BATCH_PAYLOADSTORE_H
