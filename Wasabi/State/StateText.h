/// \file
/// JSON texts of a state's entries, used for the canonical text of the state
/// and for the chain hash of the entries that a record changes.
#ifndef WASABI_STATE_STATETEXT_H
#define WASABI_STATE_STATETEXT_H

#include "Wasabi/State/Fold.h"

#include <string>

namespace wasabi {

/// Each function returns one JSON object. Pure, thread-safe.
std::string encodeClaim(const std::string &Resource, const Claim &Value);
std::string encodeAuthor(const std::string &Author,
                         const AuthorLogProgress &Progress);
std::string encodeRemoved(const std::string &Key, const RemovedObject &Value);
/// Precondition: the object's text is canonical JSON; it is inserted unchanged.
std::string encodeObject(const std::string &Key, const StoredObject &Value);
std::string encodeHistoryEntry(const HistoryEntry &Entry);

} // namespace wasabi

#endif // WASABI_STATE_STATETEXT_H
