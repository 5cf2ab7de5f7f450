#include "Control/command_line.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace camphorferry::control {
namespace {

using Arguments = std::vector<std::string>;

class CommandLineTest : public testing::Test {
 protected:
  static std::string FaultOf(const Arguments& arguments) {
    try {
      ParseCommandLine(arguments);
    } catch (const UsageError& error) {
      return error.what();
    }
    return "accepted";
  }

  const std::string digest = common::Sha256Hex("plan");
};

// Guards against options and files that are assigned wrongly, whatever their
// order.
TEST_F(CommandLineTest, ApplyWithAllOptions_Parse_KeepsEveryValue) {
  const CommandLine line =
      ParseCommandLine({"--json", "apply", "--operator", "127.0.0.1:1",
                        "a.toml", "--digest=" + this->digest, "-o",
                        "127.0.0.1:2", "--timeout-ms", "250", "dir"});
  const auto* apply = std::get_if<ApplyCommand>(&line.command);
  ASSERT_NE(apply, nullptr);
  EXPECT_EQ(apply->digest, this->digest);
  EXPECT_EQ(apply->sources, (Sources{"a.toml", "dir"}));
  const std::vector<connection::SocketAddress> operators{{"127.0.0.1", 1},
                                                         {"127.0.0.1", 2}};
  EXPECT_EQ(line.operators, operators);
  EXPECT_EQ(line.timeout, std::chrono::milliseconds(250));
  EXPECT_TRUE(line.json);
}

// Guards against requiring --operator for commands that contact no daemon.
TEST_F(CommandLineTest, LocalCommands_Parse_NeedNoOperator) {
  EXPECT_EQ(FaultOf({"validate", "a.toml"}), "accepted");
  EXPECT_EQ(FaultOf({"keys", "issue", "--workspace", "w", "--name", "k"}),
            "accepted");
  EXPECT_EQ(FaultOf({"--help"}), "accepted");
  EXPECT_EQ(FaultOf({"--version", "nonsense"}), "accepted");
}

// Guards against a mistyped command line that is accepted as another command.
TEST_F(CommandLineTest, FaultyLine_Parse_ReportsTheFault) {
  const std::string operator_option = "--operator=127.0.0.1:1";
  EXPECT_EQ(FaultOf({}), "missing command: COMMAND");
  EXPECT_EQ(FaultOf({"aply"}), "unknown command: aply");
  EXPECT_EQ(FaultOf({"keys", "list"}), "unknown command: keys list");
  EXPECT_EQ(FaultOf({"plan", operator_option}), "missing argument: FILE");
  EXPECT_EQ(FaultOf({"plan", "a.toml"}), "missing option: --operator");
  EXPECT_EQ(FaultOf({"apply", "a.toml", operator_option}),
            "missing option: --digest");
  EXPECT_EQ(FaultOf({"apply", "a.toml", operator_option, "--digest", "12"}),
            "bad value: --digest 12");
  EXPECT_EQ(
      FaultOf({"plan", "a.toml", operator_option, "--digest", this->digest}),
      "unexpected option: --digest");
  EXPECT_EQ(FaultOf({"status", operator_option, "extra"}),
            "unexpected argument: extra");
  EXPECT_EQ(FaultOf({"status", "-o", "host:1"}),
            "bad value: --operator host:1");
  EXPECT_EQ(FaultOf({"status", operator_option, "--timeout-ms", "5s"}),
            "bad value: --timeout-ms 5s");
  EXPECT_EQ(FaultOf({"status", operator_option, "--timeout-ms", "1"}),
            "bad value: --timeout-ms 1");
  EXPECT_EQ(FaultOf({"keys", "withdraw", operator_option, "--name", "a b"}),
            "bad value: --name a b");
  EXPECT_EQ(FaultOf({"status", "--nosuch"}),
            "bad option: --nosuch (unknown option)");
}

// Guards against a drain request that fails over and stops a second daemon.
TEST_F(CommandLineTest, DrainWithTwoOperators_Parse_IsRefused) {
  EXPECT_EQ(FaultOf({"drain", "-o", "127.0.0.1:1"}), "accepted");
  EXPECT_EQ(FaultOf({"drain", "-o", "127.0.0.1:1", "-o", "127.0.0.1:2"}),
            "unexpected option: --operator (drain takes exactly one)");
}

}  // namespace
}  // namespace camphorferry::control
