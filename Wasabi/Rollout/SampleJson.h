/// \file
/// JSON conversion of samples, for the log and for trainers. Include it in
/// source files only: it includes Boost.JSON.
#ifndef WASABI_ROLLOUT_SAMPLEJSON_H
#define WASABI_ROLLOUT_SAMPLEJSON_H

#include "Wasabi/Core/Verdict.h"
#include "Wasabi/Rollout/Sample.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace wasabi {

/// Return a member of an object. Errors: `BadInput` naming `Place` and the
/// member if it is missing or has another type.
Result<std::uint64_t> numberMember(const boost::json::object &Object,
                                   std::string_view Member,
                                   std::string_view Place);
Result<std::string> textMember(const boost::json::object &Object,
                               std::string_view Member, std::string_view Place);
Result<const boost::json::array *>
arrayMember(const boost::json::object &Object, std::string_view Member,
            std::string_view Place);
/// Returns a finite number. Errors as above.
Result<double> realMember(const boost::json::object &Object,
                          std::string_view Member, std::string_view Place);

/// Parses a JSON object. Errors: `BadInput` naming `Place`.
Result<boost::json::object> parseObject(std::string_view Text,
                                        std::string_view Place);

boost::json::array toJson(const Label &Spans);
Result<Label> labelFromJson(const boost::json::array &Json,
                            std::string_view Place);

boost::json::object toJson(const Sample &Value);
Result<Sample> sampleFromJson(const boost::json::value &Json,
                              std::string_view Place);

boost::json::array toJson(const std::vector<Slot> &Slots);
Result<Slot> slotFromJson(const boost::json::value &Json,
                          std::string_view Place);
Result<std::vector<Slot>> slotsFromJson(const boost::json::array &Json,
                                        std::string_view Place);

} // namespace wasabi

#endif // WASABI_ROLLOUT_SAMPLEJSON_H
