#ifndef CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_DOCUMENTS_H_
#define CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_DOCUMENTS_H_

#include <nlohmann/json.hpp>

#include "Session/session.h"

namespace camphorferry::platform {

/// Encodes the operator's configuration as the platform's store contains it.
nlohmann::json EncodeConfiguration(
    const session::DirectoryConfiguration& configuration);

/// Encodes the registration of a database.
nlohmann::json EncodeMember(const session::GroupMember& member);

/// Encodes the settings file of a proxy, with the addresses of the store and of
/// the promotion API.
nlohmann::json EncodeSettings(const session::ProxySettings& settings,
                              const connection::SocketAddress& store,
                              const connection::SocketAddress& promotion);

/// The same with the promotion API at the store's address.
nlohmann::json EncodeSettings(const session::ProxySettings& settings,
                              const connection::SocketAddress& store);

}  // namespace camphorferry::platform

#endif  // CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_DOCUMENTS_H_
