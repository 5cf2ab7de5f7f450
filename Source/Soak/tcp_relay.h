#ifndef CAMPHORFERRY_SOAK_TCP_RELAY_H_
#define CAMPHORFERRY_SOAK_TCP_RELAY_H_

#include <map>
#include <memory>

#include "Connection/connection.h"

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace camphorferry::soak {

/// How a relay treats connections.
enum class LinkState {
  kOpen,
  /// Bytes of both directions are held up for a while.
  kDelayed,
  /// Bytes towards the target vanish.
  kCutForward,
  /// Bytes from the target vanish.
  kCutBackward,
  /// Bytes of both directions vanish, new connections are taken and stay mute.
  kSilent,
  /// Connections are reset and new ones are refused at once.
  kDown
};

/// Loopback proxy between a process and one of its peers that harms the
/// connections from outside.
class LinkRelay {
 public:
  /// Listens on a loopback port of the system's choice.
  LinkRelay(connection::EventLoop* loop, connection::SocketAddress target);
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /// Where the process under test connects to.
  connection::SocketAddress Address() const;

  /// Changes how open and new connections are treated. Connections that lost
  /// bytes stay mute when the link is open again.
  void SetState(LinkState changed);

  /// Resets every open connection.
  void ResetAll();

 private:
  struct Pair;

  static void OnAccept(evconnlistener* listener, int socket, sockaddr* address,
                       int length, void* context);
  static void OnReadable(bufferevent* from, void* context);
  static void OnEvent(bufferevent* from, short what, void* context);
  void Pass(Pair* pair, bool forward);
  void Drop(Pair* pair);

  connection::EventLoop* loop;
  connection::SocketAddress target;
  evconnlistener* listener = nullptr;
  std::uint16_t port = 0;
  LinkState state = LinkState::kOpen;
  std::map<Pair*, std::unique_ptr<Pair>> pairs;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_TCP_RELAY_H_
