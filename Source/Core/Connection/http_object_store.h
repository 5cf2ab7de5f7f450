#ifndef CAMPHORFERRY_CONNECTION_HTTP_OBJECT_STORE_H_
#define CAMPHORFERRY_CONNECTION_HTTP_OBJECT_STORE_H_

#include "Connection/event_loop.h"
#include "Connection/http_message.h"
#include "Connection/object_store.h"

namespace camphorferry::connection {

/// ObjectStore over HTTP/1.1 with JSON bodies. Each call opens a new
/// connection, so that an unresponsive connection never delays a later call.
class HttpObjectStore : public ObjectStore {
 public:
  /// The timeout applies to each call; a watch adds its waiting time to it.
  HttpObjectStore(EventLoop* loop, SocketAddress address,
                  common::Duration timeout);

  void Read(const std::string& path,
            std::function<void(ReadResult)> done) override;
  void Watch(const std::string& path, ObjectVersion after,
             common::Duration timeout,
             std::function<void(ReadResult)> done) override;
  void Write(const std::string& path, ObjectVersion if_version,
             const std::string& value,
             std::function<void(WriteResult)> done) override;
  void ReadHosts(std::function<void(HostListResult)> done) override;

 private:
  EventLoop* loop;
  SocketAddress address;
  common::Duration timeout;
};

}  // namespace camphorferry::connection

#endif  // CAMPHORFERRY_CONNECTION_HTTP_OBJECT_STORE_H_
