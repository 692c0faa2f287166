// Concurrent operators, retries, and the limit on stored operations.
#include "State/ConfigurationRegister.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

schema::AcceptConfiguration command(const std::string &OperationId,
                                    std::uint64_t PlannedAgainst,
                                    const std::string &Deployment = "d") {
  schema::AcceptConfiguration Command;
  Command.set_operation_id(OperationId);
  Command.set_operator_name("of " + OperationId);
  Command.set_planned_against(PlannedAgainst);
  Command.mutable_configuration()->set_deployment(Deployment);
  return Command;
}

} // namespace

TEST_CASE("sequence of accepted and refused configurations") {
  struct Row {
    const char *m_Name;
    schema::AcceptConfiguration m_Command;
    bool m_IsAccepted;
    std::uint64_t m_Version;
    std::string m_Winner;
  };
  const Row Rows[] = {
      {"first", command("a", 0), true, 1, "a"},
      {"same version: the reply names the winner", command("b", 0), false, 1,
       "a"},
      {"retried: the first reply", command("a", 0), true, 1, "a"},
      {"planned again", command("c", 1), true, 2, "c"},
      {"retried after another was accepted", command("a", 0), true, 1, "a"},
      {"retried conflict: the first reply", command("b", 0), false, 1, "a"},
      {"used id with other content", command("a", 2, "other"), false, 2, "c"},
      {"planned against a future version", command("e", 7), false, 2, "c"},
      {"without an id", command("", 2), true, 3, ""},
  };
  ConfigurationRegister Register;
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    const schema::AcceptReply Reply = accept(Register, TestRow.m_Command, 1);
    CHECK((Reply.verdict() == schema::AcceptReply::ACCEPTED) ==
          TestRow.m_IsAccepted);
    CHECK(Reply.version() == TestRow.m_Version);
    CHECK(Reply.winner_operation_id() == TestRow.m_Winner);
    schema::StateSnapshot Snapshot;
    saveConfiguration(Register, Snapshot);
    Register = restoreConfiguration(Snapshot);
  }
}

TEST_CASE(
    "an operation is identified by its configuration and planned version, "
    "not by the operator") {
  struct Row {
    const char *m_Name;
    std::string m_Operator;
    std::uint64_t m_PlannedAgainst;
    std::string m_Deployment;
    bool m_IsSame;
  };
  const Row Rows[] = {
      {"the same", "first", 0, "d", true},
      {"another operator's name", "second", 0, "d", true},
      {"no operator's name", "", 0, "d", true},
      {"another configuration", "first", 0, "e", false},
      {"planned against another version", "first", 1, "d", false},
  };
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    ConfigurationRegister Register;
    schema::AcceptConfiguration First = command("a", 0);
    First.set_operator_name("first");
    const schema::AcceptReply Reply = accept(Register, First, 1);
    schema::AcceptConfiguration Retry =
        command("a", TestRow.m_PlannedAgainst, TestRow.m_Deployment);
    Retry.set_operator_name(TestRow.m_Operator);
    const schema::AcceptReply RetryReply = accept(Register, Retry, 2);
    CHECK((RetryReply.verdict() == schema::AcceptReply::ACCEPTED) ==
          TestRow.m_IsSame);
    CHECK(RetryReply.winner_operator_name() == Reply.winner_operator_name());
    CHECK(Register.m_Configuration.version() == 1);
  }
}

TEST_CASE("an operation whose reply was dropped isn't accepted again") {
  ConfigurationRegister Register;
  for (std::uint64_t I = 0; I <= MaxOperations; ++I)
    accept(Register, command(std::to_string(I), I), 1);
  CHECK(Register.m_Operations.size() == MaxOperations);
  const schema::AcceptReply Late = accept(Register, command("0", 0), 1);
  CHECK(Late.verdict() == schema::AcceptReply::CONFLICT);
  CHECK(Register.m_Configuration.version() == MaxOperations + 1);
}
