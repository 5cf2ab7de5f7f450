#include "access_checker.h"

#include <algorithm>
#include <utility>

namespace camphorferry::soak {

void AccessChecker::OnVersion(KeyHolders holders, common::SteadyTime now) {
  this->versions.push_back({std::move(holders), now});
}

void AccessChecker::OnDisturbed(std::size_t proxy, common::SteadyTime now) {
  this->proxies[proxy].disturbances.push_back({now, std::nullopt});
}

void AccessChecker::OnUndisturbed(std::size_t proxy, common::SteadyTime now) {
  for (Disturbance& disturbance : this->proxies[proxy].disturbances) {
    if (!disturbance.end.has_value()) {
      disturbance.end = now;
      return;
    }
  }
}

void AccessChecker::OnRestarted(std::size_t proxy, common::SteadyTime now) {
  this->proxies[proxy] = {now, {}, {}};
}

void AccessChecker::OnSent(const std::string& id,
                           const AccessRequest& request) {
  this->requests[id] = request;
}

std::optional<std::string> AccessChecker::CallerUnder(
    const Version& version, const AccessRequest& request) const {
  const auto holder = version.holders.find(request.key);
  if (holder != version.holders.end()) return holder->second;
  if (request.open) return "-";
  return std::nullopt;
}

bool AccessChecker::MustKnow(const ProxyState& proxy,
                             common::SteadyTime acknowledged,
                             common::SteadyTime at) const {
  // The latest time from which the proxy may have been undisturbed.
  common::SteadyTime since = std::max(acknowledged, proxy.started);
  std::vector<Disturbance> ordered = proxy.disturbances;
  std::sort(
      ordered.begin(), ordered.end(),
      [](const auto& one, const auto& two) { return one.begin < two.begin; });
  for (const Disturbance& disturbance : ordered) {
    if (disturbance.begin >= since + this->bound) break;
    if (!disturbance.end.has_value()) return false;
    since = std::max(since, *disturbance.end);
  }
  return at >= since + this->bound;
}

std::size_t AccessChecker::EarliestInForce(const ProxyState& proxy,
                                           common::SteadyTime at) const {
  std::size_t earliest = 0;
  for (std::size_t index = 1; index < this->versions.size(); ++index) {
    if (this->MustKnow(proxy, this->versions[index].acknowledged, at)) {
      earliest = index;
    }
  }
  return earliest;
}

void AccessChecker::OnExecuted(const std::string& id, const std::string& caller,
                               common::SteadyTime now) {
  ++this->executions;
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    this->Report("unasked", id, "caller=" + caller);
    return;
  }
  const AccessRequest& request = found->second;
  if (this->CallerUnder(this->versions.front(), request) != caller) {
    ++this->changed_callers;
  }
  ProxyState& proxy = this->proxies[request.proxy];
  std::optional<std::size_t> first;
  std::size_t last = 0;
  for (std::size_t index = this->EarliestInForce(proxy, now);
       index < this->versions.size(); ++index) {
    if (this->CallerUnder(this->versions[index], request) != caller) continue;
    if (!first.has_value()) first = index;
    last = index;
  }
  if (!first.has_value()) {
    this->Report("wrong_caller", id, "caller=" + caller);
    return;
  }
  std::size_t newest_effect = 0;
  for (const Effect& effect : proxy.effects) {
    if (effect.seen + this->downgrade_slack < request.sent) {
      newest_effect = std::max(newest_effect, effect.version);
    }
  }
  if (last < newest_effect) {
    this->Report("earlier_version", id, "caller=" + caller);
  }
  // An answer to a statement of an earlier process says nothing of this one.
  if (request.sent >= proxy.started && *first > 0) {
    proxy.effects.push_back({*first, now});
  }
}

void AccessChecker::OnKeyRefused(const std::string& id,
                                 common::SteadyTime now) {
  ++this->key_refusals;
  const AccessRequest& request = this->requests.at(id);
  const ProxyState& proxy = this->proxies[request.proxy];
  for (std::size_t index = this->EarliestInForce(proxy, request.sent);
       index < this->versions.size(); ++index) {
    const Version& version = this->versions[index];
    if (version.acknowledged > now) break;
    if (!this->CallerUnder(version, request).has_value()) return;
  }
  this->Report("key_refused", id, "key=" + request.key);
}

void AccessChecker::Report(const std::string& violation, const std::string& id,
                           const std::string& detail) {
  this->violations.push_back(violation + " id=" + id + " " + detail);
}

}  // namespace camphorferry::soak
