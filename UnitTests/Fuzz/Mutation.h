/// \file
/// Seeded random mutation of texts for parser tests.
#ifndef WASABI_UNITTESTS_FUZZ_MUTATION_H
#define WASABI_UNITTESTS_FUZZ_MUTATION_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace wasabi::fuzz {

/// Mutates `Text` in one to four places: flips a bit, replaces a byte, removes,
/// duplicates or truncates a part, or enlarges a digit.
inline std::string mutate(std::string Text, std::mt19937_64 &Engine) {
  constexpr std::uint64_t MostChanges = 4;
  constexpr std::uint64_t LongestPiece = 16;
  const std::uint64_t changes = 1 + Engine() % MostChanges;
  for (std::uint64_t n = 0; n < changes && !Text.empty(); ++n) {
    const std::size_t at = Engine() % Text.size();
    const std::size_t piece = 1 + Engine() % LongestPiece;
    switch (Engine() % 6) {
    case 0:
      Text[at] = static_cast<char>(Text[at] ^ (1 << (Engine() % 8)));
      break;
    case 1:
      Text[at] = static_cast<char>(Engine());
      break;
    case 2:
      Text.erase(at, piece);
      break;
    case 3:
      Text.insert(at, Text.substr(at, piece));
      break;
    case 4:
      Text.resize(at);
      break;
    default:
      Text.replace(at, 1, "99999999999999999999");
      break;
    }
  }
  return Text;
}

} // namespace wasabi::fuzz

#endif // WASABI_UNITTESTS_FUZZ_MUTATION_H
