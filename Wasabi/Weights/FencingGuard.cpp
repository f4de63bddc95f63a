#include "Wasabi/Weights/FencingGuard.h"

namespace wasabi {

std::optional<Failure> FencingGuard::admit(const ServerName &Server,
                                           const std::string &Resource,
                                           FencingToken Token) {
  FencingToken &greatest = Greatest[GuardedResource{Server, Resource}];
  if (Token < greatest)
    return Failure{Verdict::NotRun,
                   FailureCode::StaleFence,
                   Resource,
                   "token " + std::to_string(Token) + " is older than " +
                       std::to_string(greatest),
                   {}};
  greatest = Token;
  return std::nullopt;
}

FencingToken FencingGuard::seen(const ServerName &Server,
                                const std::string &Resource) const {
  std::map<GuardedResource, FencingToken>::const_iterator it =
      Greatest.find(GuardedResource{Server, Resource});
  return it == Greatest.end() ? 0 : it->second;
}

} // namespace wasabi
