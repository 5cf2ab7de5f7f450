#include <algorithm>
#include <utility>

#include "daemon_model.h"

namespace camphorferry::session {

namespace {

using std::chrono::milliseconds;

/// As in PromotionLease.
constexpr milliseconds kOrderWindow(600);
constexpr milliseconds kTakeoverDelay(3000);

}  // namespace

bool DaemonModel::WasAbandoned() const {
  return this->abandoned_at.has_value() &&
         this->context->time.Now() - *this->abandoned_at < kTakeoverDelay;
}

bool DaemonModel::Acquire() {
  if (!this->store_reachable || this->WasAbandoned()) return false;
  const common::SteadyTime now = this->context->time.Now();
  if (!this->record_seen_at.has_value() ||
      this->store->revision != this->record.revision) {
    this->record_seen_at = now;
  }
  this->SetRecord(*this->store);
  if (this->record.active && this->record.holder != this->number &&
      now - *this->record_seen_at < kTakeoverDelay) {
    return false;
  }
  if (!this->WriteLease(true)) return false;
  this->holds_lease = true;
  return true;
}

bool DaemonModel::Confirm() {
  if (this->lost_lease) return false;
  if (this->MayOrder()) return true;
  return this->WriteLease(true);
}

void DaemonModel::Release() {
  this->holds_lease = false;
  this->confirmed_at.reset();
  if (std::exchange(this->lost_lease, false)) return;
  if (this->WasAbandoned()) return;
  this->WriteLease(false);
  this->confirmed_at.reset();
}

bool DaemonModel::MayOrder() const {
  return this->holds_lease && this->confirmed_at.has_value() &&
         this->context->time.Now() - *this->confirmed_at < kOrderWindow;
}

bool DaemonModel::WriteLease(bool active) {
  if (!this->store_reachable) return false;
  const common::SteadyTime now = this->context->time.Now();
  this->record_seen_at = now;
  if (this->store->revision != this->record.revision) {
    this->SetRecord(*this->store);
    this->confirmed_at.reset();
    this->lost_lease = this->holds_lease;
    return false;
  }
  const std::uint64_t revision = this->record.revision + 1;
  const bool is_holder = this->record.holder == this->number;
  *this->store =
      ModelLeaseRecord{this->number,
                       active,
                       revision,
                       this->record.order,
                       is_holder ? this->record.held_since : revision,
                       this->record.closed};
  this->SetRecord(*this->store);
  this->confirmed_at = now;
  this->context->Trace(this->Name() + (active ? " holds" : " releases") +
                       " the lease, revision " +
                       std::to_string(this->record.revision));
  return true;
}

bool DaemonModel::RecordOrder(const common::EndpointId& id,
                              common::Term newest) {
  if (this->lost_lease) return false;
  const std::optional<PromotionOrderRecord> before = this->record.order;
  PromotionOrderRecord order{id, newest, 0, 0};
  if (const std::optional<OpenOrder> open = this->OpenOrderOfGroup()) {
    if (open->record.endpoint != id || open->may_arrive) return false;
    order = open->record;
  }
  order.token = this->OwnToken();
  ++order.count;
  ++order.unanswered;
  order.number = this->record.revision;
  this->record.order = order;
  if (this->WriteLease(true)) return true;
  if (!this->lost_lease) this->record.order = before;
  return false;
}

std::optional<ClosedTerm> DaemonModel::WriteClosed(common::Term below) {
  if (!this->holds_lease || this->lost_lease) return std::nullopt;
  const ClosedTerm before = this->record.closed;
  this->record.closed = {
      below,
      {0, this->record.revision},
      std::max(before.acknowledged, this->gate.Acknowledged(ModelService()))};
  if (this->WriteLease(true)) return this->record.closed;
  if (!this->lost_lease) this->record.closed = before;
  return std::nullopt;
}

std::uint64_t DaemonModel::OwnToken() const {
  return this->record.holder == this->number ? this->record.held_since
                                             : this->record.revision + 1;
}

void DaemonModel::WithdrawOrder() {
  if (!this->record.order.has_value()) return;
  if (this->record.order->unanswered > 0) --this->record.order->unanswered;
  if (--this->record.order->count == 0) this->record.order.reset();
}

void DaemonModel::OnOrderAccepted() {
  if (!this->record.order.has_value()) return;
  if (this->record.order->unanswered > 0) --this->record.order->unanswered;
}

void DaemonModel::SettleExecutedOrder() {
  const std::optional<OpenOrder> open = this->OpenOrderOfGroup();
  const std::optional<common::EndpointId> primary = this->view.Primary();
  if (open.has_value() && primary.has_value() &&
      open->record.IsExecuted(*primary, this->view.PrimaryTerm())) {
    this->record.order.reset();
  }
}

std::optional<OpenOrder> DaemonModel::OpenOrderOfGroup() const {
  const common::SteadyTime until = this->order_seen_at + kOrderLifetime;
  if (!this->record.order.has_value() || this->context->time.Now() >= until) {
    return std::nullopt;
  }
  const PromotionOrderRecord& order = *this->record.order;
  return OpenOrder{order, until,
                   order.unanswered > 0 && order.token != this->OwnToken()};
}

void DaemonModel::SetRecord(const ModelLeaseRecord& changed) {
  if (changed.order.has_value() && changed.order->number != this->seen_order) {
    this->seen_order = changed.order->number;
    this->order_seen_at = this->context->time.Now();
  }
  this->record = changed;
}

}  // namespace camphorferry::session
