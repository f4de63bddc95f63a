#include "Wasabi/Adapters/Http/ResponseMemory.h"

#include <algorithm>
#include <utility>

namespace wasabi::http {

std::shared_ptr<ResponseMemory> ResponseMemory::create(Settings Limits) {
  return std::shared_ptr<ResponseMemory>(new ResponseMemory(std::move(Limits)));
}

ResponseMemory::Share::Share(std::shared_ptr<ResponseMemory> Owner,
                             Address Peer, std::function<void()> Abort)
    : Owner(std::move(Owner)), Peer(std::move(Peer)), Abort(std::move(Abort)) {
  if (this->Owner)
    this->Owner->Shares.insert(this);
}

ResponseMemory::Share::~Share() {
  if (!Owner)
    return;
  Owner->HeldBytes -= Bytes;
  Owner->Shares.erase(this);
}

bool ResponseMemory::Share::hold(std::uint64_t NewBytes) {
  if (!Owner || Aborted)
    return !Aborted;
  Owner->HeldBytes += NewBytes - Bytes;
  Bytes = NewBytes;
  while (Owner->HeldBytes > Owner->Limits.MaxBytes && !Aborted)
    Owner->abortLargest(*this);
  return !Aborted;
}

/// Gives up the response that holds the most bytes. `Growing` is the one that
/// has exceeded the limit; its receiver learns it from `hold`.
void ResponseMemory::abortLargest(const Share &Growing) {
  Share *largest = *std::max_element(Shares.begin(), Shares.end(),
                                     [](const Share *Left, const Share *Right) {
                                       return Left->Bytes < Right->Bytes;
                                     });
  ResponseAbort report{largest->Peer, largest->Bytes, HeldBytes};
  HeldBytes -= largest->Bytes;
  largest->Bytes = 0;
  largest->Aborted = true;
  if (largest != &Growing)
    largest->Abort();
  if (Limits.OnAbort)
    Limits.OnAbort(report);
}

} // namespace wasabi::http
