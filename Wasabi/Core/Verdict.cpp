#include "Wasabi/Core/Verdict.h"

namespace wasabi {

std::string_view toText(Verdict Run) {
  switch (Run) {
  case Verdict::NotRun:
    return "not-run";
  case Verdict::MayHaveRun:
    return "may-have-run";
  case Verdict::Ran:
    return "ran";
  }
  return "may-have-run";
}

std::optional<Verdict> verdictFromText(std::string_view Text) {
  for (Verdict run : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
    if (toText(run) == Text)
      return run;
  }
  return std::nullopt;
}

std::string_view toText(FailureCode Code) {
  switch (Code) {
  case FailureCode::BadInput:
    return "bad-input";
  case FailureCode::Unreachable:
    return "unreachable";
  case FailureCode::ConnectionLost:
    return "connection-lost";
  case FailureCode::TimedOut:
    return "timed-out";
  case FailureCode::Overloaded:
    return "overloaded";
  case FailureCode::Leaving:
    return "leaving";
  case FailureCode::NoUpstream:
    return "no-upstream";
  case FailureCode::Conflict:
    return "conflict";
  case FailureCode::StaleFence:
    return "stale-fence";
  case FailureCode::Cancelled:
    return "cancelled";
  case FailureCode::Expired:
    return "expired";
  case FailureCode::Unavailable:
    return "unavailable";
  case FailureCode::NewerSchema:
    return "newer-schema";
  case FailureCode::Quarantined:
    return "quarantined";
  case FailureCode::Internal:
    return "internal";
  }
  return "internal";
}

std::string describe(const Failure &Error) {
  std::string text = Error.Place;
  text += ": ";
  text += Error.Reason;
  text += " (";
  text += toText(Error.Code);
  text += ", ";
  text += toText(Error.Run);
  text += ")";
  return text;
}

} // namespace wasabi
