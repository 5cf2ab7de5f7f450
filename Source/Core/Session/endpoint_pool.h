#ifndef CAMPHORFERRY_SESSION_ENDPOINT_POOL_H_
#define CAMPHORFERRY_SESSION_ENDPOINT_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Session/endpoint_channel.h"

namespace camphorferry::session {

/// Why a pool grants no channel.
enum class PoolFailure {
  /// No connection could be made.
  kUnreachable,
  /// Another endpoint answers at the address.
  kWrongEndpoint
};

using ChannelGrant =
    std::variant<std::shared_ptr<EndpointChannel>, PoolFailure>;

/// Wish for a channel to one endpoint.
struct ChannelRequest {
  /// Who must have opened the channel; none if any caller's serves.
  std::optional<std::string> caller;
  /// Values of the session, to prefer a channel that holds them.
  SessionValues values;
  /// Lower is served first.
  std::uint32_t priority = 0;
  std::function<void(ChannelGrant)> done;
};

/// How many channels one daemon may have to one endpoint.
struct ChannelLimits {
  /// Kept while idle.
  std::size_t max_idle = 1;
  std::size_t max_channels = 1;
  /// Rest after which channels above the number to keep are closed.
  common::Duration idle_timeout = std::chrono::milliseconds(1500);
};

/// Divides the connections that an endpoint accepts among the daemons of a
/// fleet. Where there is less than one for each, daemons borrow: they open a
/// channel when they need it and close it soon after.
ChannelLimits DivideChannels(std::size_t connections, std::size_t fleet);

/// Hears what a pool meets.
struct PoolObservers {
  /// Called with true for each connection that the endpoint answers and with
  /// false for each that it does not.
  std::function<void(bool reached)> reached;
  /// Called with the time that each demand has waited, granted or not.
  std::function<void(common::Duration wait)> waited;
};

/// Identifies a waiting demand.
using ChannelRequestId = std::uint64_t;

/// The channels of this daemon to one endpoint. Endpoints accept few
/// connections, and each is opened on behalf of one caller, so idle channels of
/// other callers are closed when a caller needs a new one. Must be owned by a
/// shared pointer.
class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
 public:
  EndpointPool(connection::EventLoop* loop, const WireCodec* codec,
               GroupMember member, std::string own_caller,
               PoolObservers observers);
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  void SetLimits(const ChannelLimits& changed) { this->limits = changed; }

  /// Calls back with a channel, maybe at once. The holder must give it back.
  ChannelRequestId Acquire(ChannelRequest request);

  /// Withdraws a demand that was not answered yet.
  void Cancel(ChannelRequestId id);

  /// Gives a channel back, usable or not.
  void Release(const std::shared_ptr<EndpointChannel>& channel);

  /// Rolls back the transaction on a channel and takes the channel back. A
  /// close would roll back too, but costs a new connection.
  void RollBack(const std::shared_ptr<EndpointChannel>& channel);

  /// Takes a channel back once the command under way is answered, and hands
  /// the answer to the receiver.
  void ReleaseWhenAnswered(const std::shared_ptr<EndpointChannel>& channel,
                           std::function<void(const ChannelResult&)> receiver);

  /// Closes idle channels that are above the limit or long unused.
  void CloseExcessIdle(common::SteadyTime now);

  /// Closes idle channels and fails waiting demands. Channels that are given
  /// back later are closed.
  void Close();

  /// Demands that wait.
  std::size_t Waiting() const { return this->waiting.size(); }

  /// True if an idle channel of the caller is there.
  bool HasIdle(const std::string& caller) const;

  std::size_t Channels() const {
    return this->idle.size() + this->leased + this->opening.size();
  }

  const GroupMember& Member() const { return this->member; }
  void SetMember(const GroupMember& changed) { this->member = changed; }

 private:
  using IdleChannels = std::vector<std::shared_ptr<EndpointChannel>>;

  struct Waiter {
    ChannelRequestId id = 0;
    ChannelRequest request;
    common::SteadyTime since;
    bool opening = false;
  };

  void Dispatch();
  std::shared_ptr<EndpointChannel> TakeIdle(const ChannelRequest& request);
  bool MakeRoom(const Waiter& waiter);
  /// Looks at the waiting demands again after a pause.
  void RetryAfter(common::Duration pause);
  /// The channel that has rested longest; there must be one.
  IdleChannels::iterator OldestIdle();
  void CloseIdle(IdleChannels::iterator channel);
  void OpenFor(Waiter* waiter);
  void OnOpened(const EndpointChannel* opened, ChannelRequestId id,
                const OpenResult& result);
  /// Takes back a channel whose last command has ended; closes it if that has
  /// left a transaction open.
  void OnLastAnswer(const EndpointChannel* ended, const ChannelResult& result);
  void FailAll(PoolFailure failure);
  void AddIdle(const std::shared_ptr<EndpointChannel>& channel);

  connection::EventLoop* loop;
  const WireCodec* codec;
  GroupMember member;
  std::string own_caller;
  PoolObservers observers;
  ChannelLimits limits;
  std::size_t leased = 0;
  /// Channels that are being opened, and those whose last command is under
  /// way. The pool owns them; a call back that did would keep its own channel
  /// alive.
  std::vector<std::shared_ptr<EndpointChannel>> opening;
  std::vector<std::shared_ptr<EndpointChannel>> ending;
  IdleChannels idle;
  std::list<Waiter> waiting;
  ChannelRequestId next_id = 1;
  bool closed = false;
  common::SteadyTime open_not_before;
  std::unique_ptr<connection::Timer> retry;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

/// Gives a channel back to the pool that it came from.
void ReturnToPool(const std::shared_ptr<EndpointChannel>& channel);

/// Gives a channel back once the command under way is answered, and hands the
/// answer to the receiver; a channel without a pool is closed instead.
void ReturnToPoolWhenAnswered(
    const std::shared_ptr<EndpointChannel>& channel,
    std::function<void(const ChannelResult&)> receiver);

/// Rolls back the transaction on a channel and gives it back.
void RollBackAndReturnToPool(const std::shared_ptr<EndpointChannel>& channel);

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_ENDPOINT_POOL_H_
