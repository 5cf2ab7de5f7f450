#ifndef CAMPHORFERRY_PROMOTION_MODEL_H_
#define CAMPHORFERRY_PROMOTION_MODEL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "daemon_model.h"

namespace camphorferry::session {

/// A group and its daemons.
class PromotionModel {
 public:
  PromotionModel(ModelGuarantee guarantee, ModelFaults faults, int daemon_count,
                 bool checks_fence, std::uint32_t seed);

  /// Plays a schedule until it ends or the guarantee is broken. Returns how it
  /// was broken with the trace before, or an empty text.
  std::string Play(const std::vector<TimedStep>& steps);

  const LossCounts& Losses() const { return this->context.losses; }

 private:
  void Perform(const ModelStep& step);
  void SetPeerLink(int one, int other, bool up);

  ModelContext context;
  DatabaseGroupModel group;
  ModelLeaseRecord lease;
  ModelFleet fleet;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_PROMOTION_MODEL_H_
