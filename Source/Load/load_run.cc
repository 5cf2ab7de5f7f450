#include "Load/load_run.h"

namespace camphorferry::load {

namespace {

constexpr std::chrono::milliseconds kFinishCheckInterval(50);

}  // namespace

LoadRun::LoadRun(const LoadPlan& plan) : plan(plan) {
  this->context.loop = &this->loop;
  this->context.plan = &this->plan;
  this->context.write_history = &this->write_history;
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
  this->finish_timer = this->loop.Every(kFinishCheckInterval,
                                        [this] { this->VerifyWhenFinished(); });
  this->loop.Run();
}

void LoadRun::VerifyWhenFinished() {
  for (const auto& worker : this->workers) {
    if (!worker->Finished()) return;
  }
  this->finish_timer.reset();
  this->VerifyNext();
}

void LoadRun::VerifyNext() {
  if (this->verified_workers == this->workers.size()) {
    this->loop.Stop();
    return;
  }
  SessionWorker* worker = this->workers[this->verified_workers++].get();
  worker->Verify(&this->findings, [this] { this->VerifyNext(); });
}

}  // namespace camphorferry::load
