/// \file
/// The texts of a state's entries: for the canonical text of the whole, and for
/// the chain, which digests each entry that a record changes.
#ifndef WASABI_STATE_STATETEXT_H
#define WASABI_STATE_STATETEXT_H

#include "Wasabi/State/Fold.h"

#include <string>

namespace wasabi {

/// Each is one JSON object. Pure, thread-safe.
std::string encodeClaim(const std::string &Resource, const Claim &What);
std::string encodeAuthor(const std::string &Author,
                         const AuthorLogProgress &Mark);
std::string encodeRemoved(const std::string &Key, const RemovedObject &What);
/// Precondition: the object's text is canonical JSON; it stands as it is.
std::string encodeObject(const std::string &Key, const StoredObject &What);
std::string encodeHistoryEntry(const HistoryEntry &Line);

} // namespace wasabi

#endif // WASABI_STATE_STATETEXT_H
