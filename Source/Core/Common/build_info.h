#ifndef CAMPHORFERRY_COMMON_BUILD_INFO_H_
#define CAMPHORFERRY_COMMON_BUILD_INFO_H_

#include <string_view>

namespace camphorferry::common {

/// First digits of a digest of the sources that this program was built from.
/// The same sources have the same digest on machines of the same kind.
std::string_view SourceDigest();

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_BUILD_INFO_H_
