#include "IntegrationTests/Cases/CrowdRequests.h"

#include <fmt/format.h>

namespace wasabi::test {

std::string makeHead(const std::string &Path, const std::string &Framing) {
  return "POST " + Path + " HTTP/1.1\r\nHost: host.example\r\n" +
         "Wasabisail-Request-Id: crowd\r\nWasabisail-Deadline-Ms: 60000\r\n" +
         Framing + "\r\n\r\n";
}

std::string makeRequest(const std::string &Path, std::size_t BodyBytes,
                        std::size_t Missing) {
  return makeHead(Path, "Content-Length: " + std::to_string(BodyBytes)) +
         std::string(BodyBytes - Missing, 'x');
}

std::string makeRequest(const std::string &Path, const std::string &Body) {
  return makeHead(Path, "Content-Length: " + std::to_string(Body.size())) +
         Body;
}

std::string makeChunkedRequest(const std::string &Path, std::size_t BodyBytes,
                               std::size_t ChunkBytes) {
  std::string text = makeHead(Path, "Transfer-Encoding: chunked");
  std::string chunk =
      fmt::format("{:x}\r\n{}\r\n", ChunkBytes, std::string(ChunkBytes, 'x'));
  for (std::size_t i = 0; i < BodyBytes; i += ChunkBytes)
    text += chunk;
  return text;
}

std::string makeEndlessHead(std::size_t Bytes) {
  std::string text = "GET /desk/x HTTP/1.1\r\nHost: host.example\r\n";
  while (text.size() < Bytes)
    text += "X-Field: " + std::string(80, 'x') + "\r\n";
  return text.substr(0, Bytes);
}

std::string makeJobText(std::size_t Bytes, const std::string &Begin,
                        const std::string &Part, const std::string &End) {
  std::string body = Begin;
  while (body.size() + Part.size() + End.size() < Bytes)
    body += Part;
  // Replaces the comma of the last part.
  body.back() = ' ';
  body += End;
  return body;
}

} // namespace wasabi::test
