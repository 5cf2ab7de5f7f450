#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "Request/request.h"

namespace camphorferry::request {
namespace {

const SessionSecrets kSecrets = {"a secret of the fuzzer, 32 bytes long"};
const common::WorkspaceId kWorkspace("w");

/// Aborts if an accepted text is not the canonical encoding of its token, which
/// shows that Decode accepts a body that Encode does not write.
void CheckText(const std::string& text) {
  try {
    const SessionToken token = SessionToken::Decode(text, kSecrets, kWorkspace);
    if (token.Encode(kSecrets) != text) std::abort();
  } catch (const BadSessionTokenError&) {
    // Refusing the input is correct; any other exception is a finding.
  }
}

void CheckBody(const std::string& body) {
  const std::string signature = common::HmacSha256(kSecrets.front(), body);
  CheckText(common::Base64UrlEncode(body + signature));
}

}  // namespace
}  // namespace camphorferry::request

/// Decodes the input as a token, as a body, and as the part of a body after the
/// workspace. Bodies are signed here, because a fuzzer cannot guess signatures.
/// Without the fixed start of the body, a run of one minute did not detect a
/// reader that had been changed to accept padded numbers.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using camphorferry::request::CheckBody;
  using camphorferry::request::CheckText;
  const std::string input(data, data + size);
  CheckText(input);
  CheckBody(input);
  CheckBody("\1\1w" + input);
  return 0;
}
