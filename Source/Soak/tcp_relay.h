#ifndef CAMPHORFERRY_SOAK_TCP_RELAY_H_
#define CAMPHORFERRY_SOAK_TCP_RELAY_H_

#include <map>
#include <memory>
#include <string>

#include "Connection/connection.h"

struct bufferevent;
struct evbuffer;
struct evconnlistener;
struct sockaddr;

namespace camphorferry::soak {

/// Network condition that a relay simulates.
enum class LinkState {
  kOpen,
  /// Bytes are delayed in both directions.
  kDelayed,
  /// Bytes to the target are dropped.
  kCutForward,
  /// Bytes from the target are dropped.
  kCutBackward,
  /// Bytes are dropped in both directions. New connections are accepted but get
  /// no response.
  kSilent,
  /// Bytes and ends of connections are kept until the link is open again, and
  /// are then delivered, also if the sender has closed or reset its connection
  /// meanwhile. Like a path that is interrupted, or a target that doesn't run.
  kHeld,
  /// Connections are reset; new ones are closed immediately.
  kDown
};

/// TCP relay on a loopback address between a process and one of its peers. It
/// injects network faults into the relayed connections.
class TcpRelay {
 public:
  /// Text that is replaced in the bytes of one direction by another one of the
  /// same length.
  struct Replacement {
    std::string from;
    std::string to;
  };

  /// Listens on a loopback port that the operating system assigns. Throws
  /// connection::ListenError.
  TcpRelay(connection::EventLoop* loop, connection::SocketAddress target);
  /// Listens on the given loopback address. Throws connection::ListenError.
  TcpRelay(connection::EventLoop* loop, connection::SocketAddress target,
           connection::SocketAddress listen);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  /// Address to which the process under test connects.
  connection::SocketAddress Address() const;

  /// Sets the network condition for open and new connections. Connections that
  /// have lost bytes keep dropping them after the link is open again.
  void SetState(LinkState changed);

  /// Resets every open connection.
  void ResetAll();

  /// Replaces text in the bytes to the target (forward) or from it.
  void SetReplacement(bool forward, Replacement replacement) {
    (forward ? this->replaced_forward : this->replaced_backward) =
        std::move(replacement);
  }

  /// Number of connections that were accepted so far.
  std::size_t Accepted() const { return this->accepted; }

 private:
  struct RelayedConnection;

  static void OnAccept(evconnlistener* listener, int socket, sockaddr* address,
                       int length, void* context);
  static void OnReadable(bufferevent* from, void* context);
  static void OnEvent(bufferevent* from, short what, void* context);
  void Forward(RelayedConnection* relayed, bool forward);
  /// Takes the bytes that can be passed on, with their text replaced.
  static std::string TakeReplaced(evbuffer* input, const Replacement& text);
  /// Passes on that an end of a connection has closed it.
  void End(RelayedConnection* relayed, bool by_client);
  /// Delivers all that was kept while the link was held.
  void DeliverHeld();
  void Close(RelayedConnection* relayed);

  connection::EventLoop* loop;
  connection::SocketAddress target;
  evconnlistener* listener = nullptr;
  connection::SocketAddress own;
  LinkState state = LinkState::kOpen;
  Replacement replaced_forward;
  Replacement replaced_backward;
  std::size_t accepted = 0;
  std::map<RelayedConnection*, std::unique_ptr<RelayedConnection>>
      relayed_connections;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_TCP_RELAY_H_
