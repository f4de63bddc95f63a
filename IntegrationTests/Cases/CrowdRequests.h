/// \file
/// The bytes that misbehaving clients send to an edge process.
#ifndef WASABI_INTEGRATIONTESTS_CASES_CROWDREQUESTS_H
#define WASABI_INTEGRATIONTESTS_CASES_CROWDREQUESTS_H

#include <cstddef>
#include <string>

namespace wasabi::test {

/// Returns the head of a POST; `Framing` is the header that frames its body.
std::string makeHead(const std::string &Path, const std::string &Framing);

/// Returns a request whose body lacks its last `Missing` bytes.
std::string makeRequest(const std::string &Path, std::size_t BodyBytes,
                        std::size_t Missing);

/// Returns a request with a given body.
std::string makeRequest(const std::string &Path, const std::string &Body);

/// Returns a request whose body of `BodyBytes` bytes, in chunks of
/// `ChunkBytes`, has no last chunk.
std::string makeChunkedRequest(const std::string &Path, std::size_t BodyBytes,
                               std::size_t ChunkBytes);

/// Returns a head of `Bytes` bytes without its end.
std::string makeEndlessHead(std::size_t Bytes);

/// Returns a text of about `Bytes` bytes: `Begin`, `Part` again and again
/// without the comma of the last one, and `End`.
std::string makeJobText(std::size_t Bytes, const std::string &Begin,
                        const std::string &Part, const std::string &End);

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_CASES_CROWDREQUESTS_H
