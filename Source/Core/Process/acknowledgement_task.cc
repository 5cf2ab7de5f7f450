#include "Process/acknowledgement_task.h"

#include <utility>

namespace camphorferry::process {

namespace {

constexpr std::chrono::milliseconds kTickInterval(20);

}  // namespace

AcknowledgementTask::AcknowledgementTask(
    connection::EventLoop* loop, const ExecutedStatement& execution,
    const std::vector<common::EndpointId>& replicas,
    common::SteadyTime deadline, ConfirmRouter router, Callback done)
    : loop(loop),
      rule(execution, replicas, deadline),
      router(std::move(router)),
      done(std::move(done)) {}

void AcknowledgementTask::Start() {
  this->tick =
      this->loop->Every(kTickInterval, [self = this->shared_from_this()] {
        self->Handle(AcknowledgementTick{});
      });
  this->Perform(this->rule.Start(common::SteadyNow()));
}

void AcknowledgementTask::Handle(const AcknowledgementEvent& event) {
  if (!this->done) return;
  this->Perform(this->rule.Handle(event, common::SteadyNow()));
}

void AcknowledgementTask::Perform(const AcknowledgementDecision& decision) {
  std::visit(
      common::Overloaded{
          [this](const struct Acknowledge& /*decision*/) {
            this->Finish(true);
          },
          [this](const ReportUnknown& /*decision*/) { this->Finish(false); },
          [](const AwaitReply& /*decision*/) {},
          [this](const RequestConfirmation& ask) {
            this->router(
                ask.endpoint, ask.position, ask.wait,
                [self = this->shared_from_this(),
                 ask](const connection::ConfirmReply& reply) {
                  if (!reply.answered) {
                    self->Handle(ConfirmFailed{ask.endpoint});
                    return;
                  }
                  self->Handle(ConfirmReply{ask.endpoint, reply.held,
                                            reply.fence, reply.position});
                });
          }},
      decision);
}

void AcknowledgementTask::Finish(bool acknowledged) {
  const Callback finished = std::exchange(this->done, nullptr);
  // The timer holds the last reference to this task.
  const std::unique_ptr<connection::Timer> ending = std::move(this->tick);
  finished(acknowledged);
}

}  // namespace camphorferry::process
