#include "Control/command_runner.h"

#include <utility>

namespace camphorferry::control {

namespace {

using connection::HttpRequest;
using nlohmann::json;
using version::Configuration;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;

HttpRequest GetRequest(const std::string& path) {
  HttpRequest request;
  request.method = "GET";
  request.path = path;
  return request;
}

HttpRequest PostRequest(const std::string& path, const json& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.headers["Content-Type"] = "application/json";
  request.body = body.dump();
  return request;
}

CommandResult Failure(ExitCode code, const std::string& result,
                      const std::string& reason) {
  return CommandResult{code, result + ": " + reason + "\n",
                       json{{"result", result}, {"reason", reason}}};
}

CommandResult NoAnswerResult() {
  return Failure(ExitCode::kNoAnswer, "no_answer",
                 "no daemon answered; check the addresses given with "
                 "--operator, or name more of them");
}

/// The result for an error response to a request that has changed nothing.
CommandResult ReplyFailure(const OperatorReply& reply) {
  const std::string reason = ReasonOf(reply.response);
  if (reply.response.status == kBadRequest) {
    return Failure(ExitCode::kInvalidInput, "invalid", reason);
  }
  return Failure(ExitCode::kRefused, "refused", reason);
}

CommandResult UnreadableResult() {
  return Failure(ExitCode::kNoAnswer, "no_answer", "unreadable answer");
}

CommandResult FaultsResult(const common::FaultListError& error) {
  json faults = json::array();
  for (const common::Fault& fault : error.Faults()) {
    faults.push_back(json{{"file", fault.file},
                          {"line", fault.line},
                          {"key", fault.key},
                          {"kind", ToString(fault.kind)},
                          {"found", fault.found},
                          {"allowed", fault.allowed}});
  }
  return CommandResult{ExitCode::kInvalidInput,
                       std::string(error.what()) + "\n",
                       json{{"result", "invalid"}, {"faults", faults}}};
}

/// Converts the outcome of a confirmation to a result for the operator.
struct ReportToResult {
  CommandResult operator()(const PlanAccepted& report) const {
    const std::string result =
        report.already_applied ? "already_applied" : "applied";
    return CommandResult{
        ExitCode::kOk,
        result + ": version " + std::to_string(report.version) + "\n",
        json{{"result", result}, {"version", report.version}}};
  }
  CommandResult operator()(const PlanStale& report) const {
    CommandResult result =
        Failure(ExitCode::kPlanStale, "stale",
                "the configuration in force or the declarations are not those "
                "of the confirmed plan; make a new plan and review it");
    if (report.base_version.has_value()) {
      result.document["base_version"] = *report.base_version;
    }
    return result;
  }
  CommandResult operator()(const PlanInvalid& report) const {
    return Failure(ExitCode::kInvalidInput, "invalid", report.reason);
  }
  CommandResult operator()(const PlanRefused& report) const {
    return Failure(ExitCode::kRefused, "refused",
                   report.reason + "; nothing was changed");
  }
  CommandResult operator()(const PlanOutcomeUnknown& report) const {
    return Failure(ExitCode::kNoAnswer, "unknown",
                   report.reason +
                       "; the plan may be in force. Run the same command "
                       "again: it is not applied twice");
  }
  CommandResult operator()(const PlanNotSent& /*report*/) const {
    return NoAnswerResult();
  }
};

/// Converts the answer to a request for a plan, which must have text and
/// digest.
CommandResult PlanResult(const OperatorReply& reply) {
  if (reply.response.status != kOk) return ReplyFailure(reply);
  json body = json::parse(reply.response.body, nullptr,
                          /*allow_exceptions=*/false);
  const bool complete = body.is_object() && body.contains("text") &&
                        body["text"].is_string() && body.contains("digest") &&
                        body["digest"].is_string();
  if (!complete) return UnreadableResult();
  const auto text = body["text"].get<std::string>();
  return CommandResult{ExitCode::kOk, text, std::move(body)};
}

CommandResult StatusResult(const OperatorResult& result) {
  const auto* reply = std::get_if<OperatorReply>(&result);
  if (reply == nullptr) return NoAnswerResult();
  if (reply->response.status != kOk) return ReplyFailure(*reply);
  const std::string from = connection::ToString(reply->from);
  const std::string& body = reply->response.body;
  json document = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    return CommandResult{ExitCode::kOk, "# " + from + "\n" + body, json()};
  }
  std::string text = "# " + from + "\n" + document.dump(2) + "\n";
  return CommandResult{ExitCode::kOk, std::move(text), std::move(document)};
}

/// State of the rollout of a version at a daemon, from its answer to a status
/// request.
std::string_view RolloutStateOf(const connection::HttpResult& answer,
                                version::ConfigurationVersion version) {
  const auto* response = std::get_if<connection::HttpResponse>(&answer);
  if (response == nullptr) return "no_answer";
  const json status = json::parse(response->body, nullptr,
                                  /*allow_exceptions=*/false);
  if (!status.is_object()) return "no_answer";
  const auto found = status.find("configuration_version");
  if (found == status.end() || !found->is_number_unsigned()) return "no_answer";
  const bool reached = found->get<version::ConfigurationVersion>() >= version;
  return reached ? "in_force" : "not_yet";
}

std::string KeyDeclaration(const KeysIssueCommand& command,
                           const std::string& digest) {
  return "[key.\"" + command.name.Value() + "\"]\nworkspace = \"" +
         command.workspace.Value() + "\"\ndigest = \"" + digest + "\"\n";
}

}  // namespace

CommandRunner::CommandRunner(const CommandLine& line, Transport transport,
                             RandomSource random)
    : line(line),
      client(line.operators, line.timeout, std::move(transport)),
      random(std::move(random)) {}

CommandResult CommandRunner::Run() const {
  try {
    return std::visit(
        [this](const auto& command) { return this->RunCommand(command); },
        this->line.command);
  } catch (const common::FaultListError& error) {
    return FaultsResult(error);
  }
}

CommandResult CommandRunner::RunCommand(const ValidateCommand& command) const {
  const Configuration declared = version::ReadDeclarations(command.sources);
  return CommandResult{ExitCode::kOk, "valid\n",
                       json{{"result", "valid"},
                            {"declarations", DeclarationsToJson(declared)}}};
}

CommandResult CommandRunner::RunCommand(const PlanCommand& command) const {
  return this->ShowPlan(version::ReadDeclarations(command.sources));
}

CommandResult CommandRunner::RunCommand(const ApplyCommand& command) const {
  const Configuration declared = version::ReadDeclarations(command.sources);
  return std::visit(ReportToResult(), this->Confirm(declared, command.digest));
}

CommandResult CommandRunner::RunCommand(
    const StatusCommand& /*command*/) const {
  return StatusResult(this->client.Send(GetRequest("/operator/v1/status")));
}

CommandResult CommandRunner::RunCommand(
    const CountersCommand& /*command*/) const {
  HttpRequest request = GetRequest("/operator/v1/counters");
  if (this->line.json) request.query["format"] = "json";
  return StatusResult(this->client.Send(request));
}

CommandResult CommandRunner::RunCommand(const KeysIssueCommand& command) const {
  const std::string key = version::GenerateKey(this->random());
  const std::string digest = common::Sha256Hex(key);
  const std::string declaration = KeyDeclaration(command, digest);
  return CommandResult{
      ExitCode::kOk,
      "# Give this key to the client; it is not stored and not shown again:\n"
      "# " +
          key +
          "\n# Add this to the declaration files, then plan and apply:\n" +
          declaration,
      json{{"result", "issued"},
           {"key", key},
           {"digest", digest},
           {"declaration", declaration}}};
}

CommandResult CommandRunner::RunCommand(
    const KeysWithdrawCommand& command) const {
  const OperatorResult result =
      this->client.Send(GetRequest("/operator/v1/configuration"));
  const auto* reply = std::get_if<OperatorReply>(&result);
  if (reply == nullptr) return NoAnswerResult();
  if (reply->response.status != kOk) return ReplyFailure(*reply);
  try {
    return this->WithdrawKey(version::ParseConfiguration(reply->response.body),
                             command);
  } catch (const version::BadConfigurationError&) {
    return UnreadableResult();
  }
}

CommandResult CommandRunner::RunCommand(const DrainCommand& /*command*/) const {
  const OperatorResult result =
      this->client.Send(PostRequest("/operator/v1/drain", json::object()));
  const auto* reply = std::get_if<OperatorReply>(&result);
  if (reply == nullptr) return NoAnswerResult();
  const int status = reply->response.status;
  if (status != kOk && status != kAccepted) return ReplyFailure(*reply);
  return CommandResult{ExitCode::kOk,
                       "draining: " + connection::ToString(reply->from) + "\n",
                       json{{"result", "draining"}}};
}

CommandResult CommandRunner::RunCommand(const HelpCommand& command) const {
  return CommandResult{ExitCode::kOk, command.text,
                       json{{"help", command.text}}};
}

CommandResult CommandRunner::RunCommand(const VersionCommand& command) const {
  return CommandResult{ExitCode::kOk, command.text,
                       json{{"version", command.text}}};
}

CommandResult CommandRunner::ShowPlan(const Configuration& declared) const {
  const OperatorResult result = this->client.Send(
      PostRequest("/operator/v1/plan",
                  json{{"declarations", DeclarationsToJson(declared)}}));
  const auto* reply = std::get_if<OperatorReply>(&result);
  if (reply == nullptr) return NoAnswerResult();
  return PlanResult(*reply);
}

ApplyReport CommandRunner::Confirm(const Configuration& declared,
                                   const std::string& digest) const {
  return InterpretApply(this->client.Send(
      PostRequest("/operator/v1/apply",
                  json{{"digest", digest},
                       {"declarations", DeclarationsToJson(declared)}})));
}

CommandResult CommandRunner::WithdrawKey(
    Configuration current, const KeysWithdrawCommand& command) const {
  const bool present = current.keys.erase(command.name) > 0;
  if (!present && !command.digest.has_value()) {
    return Failure(ExitCode::kInvalidInput, "unknown_key",
                   "version " + std::to_string(current.version) +
                       " has no key " + command.name.Value());
  }
  if (!command.digest.has_value()) return this->ShowPlan(current);
  // If this repeats a confirmation that was already applied, the key is no
  // longer in the configuration in force. That configuration is then what was
  // confirmed, and the daemon finds the digest among the applied plans.
  const ApplyReport report = this->Confirm(current, *command.digest);
  CommandResult result = std::visit(ReportToResult(), report);
  if (const auto* accepted = std::get_if<PlanAccepted>(&report)) {
    this->ReportRollout(accepted->version, &result);
    result.text += "Remove [key." + command.name.Value() +
                   "] from the declaration files, or the next plan adds it "
                   "again.\n";
  } else if (!present) {
    result.text +=
        "The configuration in force has no key " + command.name.Value() + ".\n";
  }
  return result;
}

void CommandRunner::ReportRollout(version::ConfigurationVersion version,
                                  CommandResult* result) const {
  constexpr std::array kRolloutStates = {"in_force", "not_yet", "no_answer"};
  for (const char* state : kRolloutStates) {
    result->document[state] = json::array();
  }
  for (const auto& [address, answer] :
       this->client.SendToAll(GetRequest("/operator/v1/status"))) {
    const std::string state(RolloutStateOf(answer, version));
    const std::string name = connection::ToString(address);
    result->text.append(state).append(": ").append(name).append("\n");
    result->document[state].push_back(name);
  }
}

CommandResult UsageResult(const UsageError& error) {
  CommandResult result =
      Failure(ExitCode::kInvalidInput, "usage", error.what());
  result.text += "Try camphorferryctl --help.\n";
  return result;
}

}  // namespace camphorferry::control
