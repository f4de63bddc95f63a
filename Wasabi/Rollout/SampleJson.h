/// \file
/// Samples as JSON, alike on the log and towards trainers. Included by
/// sources only: it brings Boost.JSON.
#ifndef WASABI_ROLLOUT_SAMPLEJSON_H
#define WASABI_ROLLOUT_SAMPLEJSON_H

#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Rollout/Sample.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace wasabi {

/// A member of an object. Errors: `BadInput` naming `Place` and the member
/// when it is absent or of another type.
Result<std::uint64_t> numberMember(const boost::json::object &Of,
                                   std::string_view Member,
                                   std::string_view Place);
Result<std::string> textMember(const boost::json::object &Of,
                               std::string_view Member, std::string_view Place);
Result<const boost::json::array *> arrayMember(const boost::json::object &Of,
                                               std::string_view Member,
                                               std::string_view Place);
/// A number that need not be whole.
Result<double> realMember(const boost::json::object &Of,
                          std::string_view Member, std::string_view Place);

/// Parses a JSON object. Errors: `BadInput` naming `Place`.
Result<boost::json::object> parseObject(std::string_view Text,
                                        std::string_view Place);

boost::json::array toJson(const Label &Spans);
Result<Label> labelFromJson(const boost::json::array &From,
                            std::string_view Place);

boost::json::object toJson(const Sample &What);
Result<Sample> sampleFromJson(const boost::json::value &From,
                              std::string_view Place);

boost::json::array toJson(const std::vector<Slot> &Slots);
Result<Slot> slotFromJson(const boost::json::value &From,
                          std::string_view Place);
Result<std::vector<Slot>> slotsFromJson(const boost::json::array &From,
                                        std::string_view Place);

} // namespace wasabi

#endif // WASABI_ROLLOUT_SAMPLEJSON_H
