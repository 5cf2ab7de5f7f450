#ifndef CAMPHORFERRY_COMMON_JSON_TEXT_H_
#define CAMPHORFERRY_COMMON_JSON_TEXT_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "Common/error.h"

namespace camphorferry::common {

/// A text is not the JSON value that was expected. The message is short and
/// contains no part of the text.
class JsonTextError : public Error {
 public:
  explicit JsonTextError(const std::string& what);
};

/// The texts of an object's values by member name. Names are compared as
/// written, without replacing escape sequences.
using JsonMembers = std::map<std::string_view, std::string_view>;

/// Splits the text of an object into the texts of its values. The values are
/// not parsed, so one that is invalid or very deep does not affect the others;
/// only its quotes and the number of its brackets have to match. Of several
/// members with the same name, the last counts. Throws JsonTextError.
JsonMembers SplitJsonObject(std::string_view text);

/// Splits the text of an array into the texts of its elements, like
/// SplitJsonObject.
std::vector<std::string_view> SplitJsonArray(std::string_view text);

/// Returns the text of a member's value. Throws JsonTextError if there is none.
std::string_view FindJsonMember(const JsonMembers& members,
                                std::string_view name);

/// Parses a value with at most the given number of levels of arrays and
/// objects. Functions that call themselves for each level, such as copying and
/// serializing, are safe on the result if the limit is. Throws JsonTextError.
nlohmann::json ParseJson(std::string_view text, int max_depth);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_JSON_TEXT_H_
