#include "Session/evacuations.h"

namespace camphorferry::session {

bool Evacuations::Update(const Evacuations& other) {
  if (other.as_of < this->as_of) return false;
  this->as_of = other.as_of;
  if (other.domains == this->domains) return false;
  this->domains = other.domains;
  return true;
}

}  // namespace camphorferry::session
