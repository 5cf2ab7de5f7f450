#include "Common/build_info.h"

#include "source_digest.h"

namespace camphorferry::common {

std::string_view SourceDigest() { return CAMPHORFERRY_SOURCE_DIGEST; }

}  // namespace camphorferry::common
