#ifndef CAMPHORFERRY_SESSION_ENDPOINT_POOL_H_
#define CAMPHORFERRY_SESSION_ENDPOINT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Session/endpoint_channel.h"
#include "Session/wait_queue.h"

namespace camphorferry::session {

/// Why a pool cannot provide a channel.
enum class PoolFailure {
  /// The connection to the endpoint could not be opened.
  kUnreachable,
  /// A different endpoint answers at the address.
  kWrongEndpoint,
  /// The request would get a channel, or has got one, after its deadline.
  kOverloaded
};

using ChannelGrant =
    std::variant<std::shared_ptr<EndpointChannel>, PoolFailure>;

/// Request for a channel to one endpoint.
struct ChannelRequest {
  /// The caller that the channel must have been opened for; none if the caller
  /// does not matter.
  std::optional<std::string> caller;
  /// Values of the session; channels that already have them are preferred.
  SessionValues values;
  /// Requests with a lower value are served first.
  std::uint32_t priority = 0;
  /// Since when the caller's operation has been waiting, over all attempts;
  /// none if requests are served in order of arrival.
  std::optional<common::SteadyTime> waiting_since;
  /// The request is of no use after this time.
  std::optional<common::SteadyTime> deadline;
  std::function<void(ChannelGrant)> done;
};

/// Limits of the channels of one daemon to one endpoint.
struct ChannelLimits {
  /// Number of channels up to which idle ones are kept open.
  std::size_t max_idle = 1;
  std::size_t max_channels = 1;
  /// Idle time after which channels beyond max_idle are closed.
  common::Duration idle_timeout = std::chrono::milliseconds(1500);
};

/// Divides the connections that an endpoint accepts among the daemons of a
/// fleet. If there is less than one connection per daemon, daemons open a
/// channel only when they need it and close it soon after.
ChannelLimits DivideChannels(std::size_t connections, std::size_t fleet);

/// Limits of a daemon that opens a channel only when it needs it, to an
/// endpoint that accepts this number of connections.
ChannelLimits BorrowChannels(std::size_t connections);

/// Callbacks for events of a pool.
struct PoolObservers {
  /// Called after each attempt to open a connection: with true if the endpoint
  /// answered, with false if it did not.
  std::function<void(bool reached)> reached;
  /// Called with the time that each request has waited, whether it got a
  /// channel or not.
  std::function<void(common::Duration wait)> waited;
};

/// Identifies a queued channel request.
using ChannelRequestId = std::uint64_t;

/// Connection pool of this daemon for one endpoint. Endpoints accept few
/// connections, and each is opened on behalf of one caller, so idle channels of
/// other callers are closed when a caller needs a new one. Must be owned by a
/// shared pointer.
class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
 public:
  EndpointPool(connection::EventLoop* loop, const WireCodec* codec,
               GroupMember member, std::string own_caller,
               PoolObservers observers,
               std::shared_ptr<LargeMessageQueue> large_responses = nullptr);
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  void SetLimits(const ChannelLimits& changed) { this->limits = changed; }

  /// Requests a channel. Calls back once, possibly before this returns; the
  /// receiver must give the channel back.
  ChannelRequestId Acquire(ChannelRequest request);

  /// Cancels a request that has not been answered yet.
  void Cancel(ChannelRequestId id);

  /// Returns a channel to the pool, usable or not.
  void Release(const std::shared_ptr<EndpointChannel>& channel);

  /// Rolls back the transaction on a channel and takes the channel back.
  /// Closing the channel would roll back as well, but would cost a new
  /// connection.
  void RollBack(const std::shared_ptr<EndpointChannel>& channel);

  /// Takes a channel back after the command in progress is answered, and passes
  /// the answer to the receiver.
  void ReleaseWhenAnswered(const std::shared_ptr<EndpointChannel>& channel,
                           std::function<void(const ChannelResult&)> receiver);

  /// Closes idle channels that exceed the limit and have reached the idle
  /// timeout, and serves waiting requests.
  void CloseExcessIdle(common::SteadyTime now);

  /// Closes idle channels and fails waiting requests. Channels that are
  /// returned later are closed.
  void Close();

  /// Number of requests that wait for a channel.
  std::size_t Waiting() const { return this->waiting.size(); }

  /// Whether the pool has an idle channel of the caller.
  bool HasIdle(const std::string& caller) const;

  std::size_t Channels() const {
    return this->idle.size() + this->leased + this->opening.size();
  }

  const GroupMember& Member() const { return this->member; }
  void SetMember(const GroupMember& changed) { this->member = changed; }

 private:
  using IdleChannels = std::vector<std::shared_ptr<EndpointChannel>>;

  struct Waiter {
    ChannelRequest request;
    common::SteadyTime since;
    bool opening = false;
  };

  void Dispatch();
  std::shared_ptr<EndpointChannel> TakeIdle(const ChannelRequest& request);
  bool MakeRoom(const Waiter& waiter);
  /// Fails the requests whose deadlines have passed; returns whether the pool
  /// still exists.
  bool FailExpired();
  /// Serves the waiting requests again after a pause.
  void RetryAfter(common::Duration pause);
  /// The channel that has been idle longest. There must be at least one.
  IdleChannels::iterator OldestIdle();
  void CloseIdle(IdleChannels::iterator channel);
  void OpenFor(ChannelRequestId id, Waiter* waiter);
  void OnOpened(const EndpointChannel* opened, ChannelRequestId id,
                const OpenResult& result);
  /// Takes back a channel whose last command has ended. Closes it if the
  /// command failed or left a transaction open.
  void OnLastAnswer(const EndpointChannel* ended, const ChannelResult& result);
  void FailAll(PoolFailure failure);
  void AddIdle(const std::shared_ptr<EndpointChannel>& channel);

  connection::EventLoop* loop;
  const WireCodec* codec;
  GroupMember member;
  std::string own_caller;
  PoolObservers observers;
  std::shared_ptr<LargeMessageQueue> large_responses;
  ChannelLimits limits;
  std::size_t leased = 0;
  /// Channels that are being opened, and channels whose last command is in
  /// progress. The pool owns them, because a channel whose own callback owned
  /// it would keep itself alive.
  std::vector<std::shared_ptr<EndpointChannel>> opening;
  std::vector<std::shared_ptr<EndpointChannel>> ending;
  IdleChannels idle;
  std::map<ChannelRequestId, Waiter> waiting;
  /// Order of the waiting requests.
  WaitQueue queue;
  ChannelRequestId next_id = 1;
  bool closed = false;
  common::SteadyTime open_not_before;
  std::unique_ptr<connection::Timer> retry;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Returns a channel to its pool, or closes it if the pool is gone.
void ReturnToPool(const std::shared_ptr<EndpointChannel>& channel);

/// Returns a channel to its pool after the command in progress is answered, and
/// passes the answer to the receiver. If the pool is gone, closes the channel
/// without calling the receiver.
void ReturnToPoolWhenAnswered(
    const std::shared_ptr<EndpointChannel>& channel,
    std::function<void(const ChannelResult&)> receiver);

/// Rolls back the transaction on a channel and returns the channel to its pool,
/// or closes it if the pool is gone.
void RollBackAndReturnToPool(const std::shared_ptr<EndpointChannel>& channel);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_ENDPOINT_POOL_H_
