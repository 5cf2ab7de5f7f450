#ifndef CAMPHORFERRY_SESSION_LARGE_MESSAGE_QUEUE_H_
#define CAMPHORFERRY_SESSION_LARGE_MESSAGE_QUEUE_H_

#include <cstddef>
#include <functional>
#include <list>
#include <set>

namespace camphorferry::session {

/// Limits how many large messages are read and processed at a time. The others
/// wait in order of arrival, and their connections are not read meanwhile.
/// Answers many clients that send messages of the largest size at once, each of
/// which takes several times its size while it is in progress.
class LargeMessageQueue {
 public:
  explicit LargeMessageQueue(std::size_t limit) : limit(limit) {}

  /// Requests room for one message of a connection. Calls back once there is
  /// room, possibly before this returns. The holder identifies the connection.
  void Request(const void* holder, std::function<void()> granted);

  /// Ends the request of a connection, granted or not; does nothing if there is
  /// none.
  void Release(const void* holder);

  /// Number of messages that have room.
  std::size_t InProgress() const { return this->holders.size(); }
  std::size_t Waiting() const { return this->waiting.size(); }

 private:
  struct Waiter {
    const void* holder;
    std::function<void()> granted;
  };

  void GrantNext();

  std::size_t limit;
  std::set<const void*> holders;
  std::list<Waiter> waiting;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_LARGE_MESSAGE_QUEUE_H_
