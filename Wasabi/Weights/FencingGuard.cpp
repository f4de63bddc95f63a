#include "Wasabi/Weights/FencingGuard.h"

namespace wasabi {

std::optional<Failure> FencingGuard::admit(const ServerName &Server,
                                           const std::string &Resource,
                                           FencingToken Token) {
  FencingToken &newest = NewestTokens[GuardedResource{Server, Resource}];
  if (Token < newest)
    return Failure{Verdict::NotRun,
                   FailureCode::StaleFence,
                   Resource,
                   "token " + std::to_string(Token) + " is older than " +
                       std::to_string(newest),
                   {}};
  newest = Token;
  return std::nullopt;
}

FencingToken FencingGuard::seen(const ServerName &Server,
                                const std::string &Resource) const {
  std::map<GuardedResource, FencingToken>::const_iterator it =
      NewestTokens.find(GuardedResource{Server, Resource});
  return it == NewestTokens.end() ? 0 : it->second;
}

} // namespace wasabi
