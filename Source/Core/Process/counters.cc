#include "Process/counters.h"

#include <nlohmann/json.hpp>

namespace camphorferry::process {

void Counters::Add(const std::string& name, std::int64_t amount) {
  this->values[name] += amount;
}

void Counters::Set(const std::string& name, std::int64_t value) {
  this->values[name] = value;
}

std::int64_t Counters::Value(const std::string& name) const {
  const auto found = this->values.find(name);
  return found == this->values.end() ? 0 : found->second;
}

std::string Counters::ToText() const {
  std::string text;
  for (const auto& [name, value] : this->values) {
    text += name + " " + std::to_string(value) + "\n";
  }
  return text;
}

std::string Counters::ToJson() const {
  return nlohmann::json(this->values).dump();
}

}  // namespace camphorferry::process
