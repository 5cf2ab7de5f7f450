#include "Process/acknowledgement_task.h"

#include <utility>

namespace camphorferry::process {

namespace {

constexpr std::chrono::milliseconds kTickInterval(20);

}  // namespace

AcknowledgementTask::AcknowledgementTask(
    connection::EventLoop* loop, const ExecutedStatement& statement,
    const std::vector<common::EndpointId>& replicas,
    common::SteadyTime deadline, ConfirmRouter router, Callback done)
    : loop(loop),
      tracker(statement, replicas, deadline),
      router(std::move(router)),
      done(std::move(done)) {}

void AcknowledgementTask::Start() {
  this->tick =
      this->loop->Every(kTickInterval, [self = this->shared_from_this()] {
        self->Handle(AcknowledgementTick{});
      });
  this->Perform(this->tracker.Start(common::SteadyNow()));
}

void AcknowledgementTask::Handle(const AcknowledgementEvent& event) {
  if (!this->done) return;
  this->Perform(this->tracker.Handle(event, common::SteadyNow()));
}

void AcknowledgementTask::Perform(const AcknowledgementDecision& decision) {
  std::visit(
      common::Overloaded{
          [this](const struct Acknowledge& /*decision*/) {
            this->Finish(true);
          },
          [this](const ReportUnknown& /*decision*/) { this->Finish(false); },
          [](const AwaitReply& /*decision*/) {},
          [this](const RequestConfirmation& request) {
            this->router(
                request.endpoint, request.position, request.wait,
                [self = this->shared_from_this(),
                 request](const connection::ConfirmReply& reply) {
                  if (!reply.answered) {
                    self->Handle(ConfirmFailed{request.endpoint});
                    return;
                  }
                  self->Handle(ConfirmReply{request.endpoint, reply.held,
                                            reply.fence, reply.position});
                });
          }},
      decision);
}

void AcknowledgementTask::Finish(bool acknowledged) {
  const Callback callback = std::exchange(this->done, nullptr);
  // The timer may hold the last reference to this task, so it must outlive the
  // callback.
  const std::unique_ptr<connection::Timer> timer = std::move(this->tick);
  callback(acknowledged);
}

}  // namespace camphorferry::process
