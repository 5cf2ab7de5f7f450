#include "proxy_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "fake_documents.h"

namespace camphorferry::soak {

namespace {

/// Ports of a proxy. Each proxy has its own loopback address.
constexpr std::uint16_t kClientPort = 7001;
constexpr std::uint16_t kReadyPort = 7002;
constexpr std::uint16_t kFirstPeerPort = 7003;

/// Tolerance by which the fleet may exceed a rate limit, as in the deployments.
constexpr session::RateTolerance kRateTolerance{0.1, 20};

/// Returns a loopback address that no other proxy of this or a concurrent soak
/// run uses. A restarted proxy needs the same ports, and another process could
/// take ports that the operating system assigned.
std::string UniqueLoopbackAddress(int index) {
  const auto id = static_cast<unsigned>(getpid());
  constexpr unsigned kByte = 256;
  return "127." + std::to_string(1 + id / kByte % (kByte - 2)) + "." +
         std::to_string(id % kByte) + "." + std::to_string(index + 1);
}

}  // namespace

ProcessStartError::ProcessStartError(const std::string& program)
    : Error("cannot start " + program) {}

ProxyProcess::ProxyProcess(std::string program, const std::string& folder,
                           int index, const connection::SocketAddress& store,
                           const connection::SocketAddress& promotion,
                           std::optional<MachineLimits> limits,
                           const common::FailureDomainId& domain,
                           const std::string& ip)
    : program(std::move(program)),
      settings_path(folder + "/proxy-" + std::to_string(index) + ".json"),
      log_path(folder + "/proxy-" + std::to_string(index) + ".log"),
      ip(ip.empty() ? UniqueLoopbackAddress(index) : ip),
      limits(limits) {
  session::ProxySettings settings;
  settings.location.host = common::HostId("proxy-" + std::to_string(index));
  settings.location.domain = domain;
  settings.location.region_of[settings.location.domain] =
      common::RegionId("region");
  settings.clients = this->ClientAddress();
  settings.readiness = {this->ip, kReadyPort};
  settings.peers = this->PeerAddress();
  settings.rate_tolerance = kRateTolerance;
  nlohmann::json document =
      platform::EncodeSettings(settings, store, promotion);
  if (limits.has_value()) {
    document["limits"] = {{"memoryMb", limits->memory_mb},
                          {"fdLimit", limits->descriptors}};
  }
  std::ofstream(this->settings_path) << document.dump(2);
}

ProxyProcess::~ProxyProcess() {
  if (this->pid == 0) return;
  kill(this->pid, SIGKILL);
  waitpid(this->pid, nullptr, 0);
}

void ProxyProcess::Start() {
  const int log =
      open(this->log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  const pid_t child = fork();
  if (child == 0) {
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // If the child inherited sockets of the soak, their peers would not notice
    // when the soak closes them.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    if (this->limits.has_value()) {
      const rlimit descriptors{this->limits->descriptors,
                               this->limits->descriptors};
      setrlimit(RLIMIT_NOFILE, &descriptors);
    }
    // Ends the proxy if the soak process is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(this->program.c_str(), this->program.c_str(), "--settings",
          this->settings_path.c_str(), nullptr);
    _exit(127);
  }
  close(log);
  if (child < 0) throw ProcessStartError(this->program);
  this->pid = child;
}

connection::SocketAddress ProxyProcess::ClientAddress() const {
  return {this->ip, kClientPort};
}

connection::SocketAddress ProxyProcess::PeerAddress() const {
  return {this->ip, kFirstPeerPort};
}

void ProxyProcess::Signal(int number) const {
  if (this->pid != 0) kill(this->pid, number);
}

bool ProxyProcess::Running() {
  if (this->pid == 0) return false;
  if (waitpid(this->pid, nullptr, WNOHANG) == 0) return true;
  this->pid = 0;
  return false;
}

std::optional<std::size_t> ProxyProcess::ResidentBytes() const {
  if (this->pid == 0) return std::nullopt;
  std::ifstream statm("/proc/" + std::to_string(this->pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  if (!(statm >> total >> resident)) return std::nullopt;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::optional<std::size_t> ProxyProcess::PeakResidentBytes() const {
  if (this->pid == 0) return std::nullopt;
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  std::string word;
  std::size_t kilobytes = 0;
  constexpr std::size_t kBytesPerKilobyte = 1024;
  while (status >> word) {
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes * kBytesPerKilobyte;
    }
  }
  return std::nullopt;
}

std::size_t ProxyProcess::OpenDescriptors() const {
  if (this->pid == 0) return 0;
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(this->pid) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

}  // namespace camphorferry::soak
