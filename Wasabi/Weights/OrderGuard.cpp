#include "Wasabi/Weights/OrderGuard.h"

namespace wasabi {

std::optional<Failure> OrderGuard::admit(const ServerName &Server,
                                         const std::string &Resource,
                                         FencingToken Token) {
  FencingToken &greatest = Greatest[Guarded{Server, Resource}];
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

FencingToken OrderGuard::seen(const ServerName &Server,
                              const std::string &Resource) const {
  std::map<Guarded, FencingToken>::const_iterator it =
      Greatest.find(Guarded{Server, Resource});
  return it == Greatest.end() ? 0 : it->second;
}

} // namespace wasabi
