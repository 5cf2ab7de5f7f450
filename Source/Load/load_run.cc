#include "Load/load_run.h"

namespace camphorferry::load {

namespace {

constexpr std::chrono::milliseconds kCheckInterval(50);

}  // namespace

LoadRun::LoadRun(const LoadPlan& plan) : plan(plan) {
  this->context.loop = &this->loop;
  this->context.plan = &this->plan;
  this->context.ledger = &this->ledger;
  this->context.statistics = &this->statistics;
}

void LoadRun::Run() {
  this->context.start = common::SteadyNow();
  this->context.end = this->context.start + this->plan.length;
  for (const WorkspaceLoad& workspace : this->plan.workspaces) {
    for (std::uint32_t i = 0; i < workspace.sessions; ++i) {
      this->workers.push_back(
          std::make_unique<SessionWorker>(&this->context, &workspace, i));
      this->workers.back()->Start();
    }
  }
  this->check =
      this->loop.Every(kCheckInterval, [this] { this->CheckFinished(); });
  this->loop.Run();
}

void LoadRun::CheckFinished() {
  for (const auto& worker : this->workers) {
    if (!worker->Finished()) return;
  }
  this->check.reset();
  this->VerifyNext();
}

void LoadRun::VerifyNext() {
  if (this->verified == this->workers.size()) {
    this->loop.Stop();
    return;
  }
  SessionWorker* worker = this->workers[this->verified++].get();
  worker->Verify(&this->findings, [this] { this->VerifyNext(); });
}

}  // namespace camphorferry::load
