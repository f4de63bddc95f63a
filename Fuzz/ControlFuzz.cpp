/// \file
/// libFuzzer target: verifies, reads and re-encodes control frames.
#include "Wasabi/Adapters/Frames/Generated/Wire_generated.h"
#include "Wasabi/Node/ControlMessage.h"

#include <cstdint>
#include <cstdlib>
#include <vector>

using namespace wasabi;

// NOLINTNEXTLINE(readability-identifier-naming): the fuzzer calls this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::vector<std::uint8_t> frame(Data, Data + Size);
  flatbuffers::Verifier verifier(frame.data(), frame.size());
  if (!wire::VerifyFrameBuffer(verifier))
    return 0;
  const Outcome<ControlMessage> read = decodeControl(frame);
  if (!read)
    return 0;
  const Outcome<ControlMessage> again = decodeControl(encodeControl(*read));
  if (!again || again->index() != read->index())
    std::abort();
  return 0;
}
