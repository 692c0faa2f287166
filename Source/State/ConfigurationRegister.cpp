// Compare-and-set of the configuration, with stored replies for retries.
#include "State/ConfigurationRegister.h"

#include "Core/Hash.h"

namespace mangocart {

namespace {

// Covers the content of the command and not the operator: the same plan sent
// again under another operator's name is the same operation.
std::uint64_t digestOf(const schema::AcceptConfiguration &Command) {
  return hash64(Command.configuration().SerializeAsString(),
                Command.planned_against());
}

schema::AcceptReply conflictReply(const ConfigurationRegister &Register) {
  schema::AcceptReply Reply;
  Reply.set_verdict(schema::AcceptReply::CONFLICT);
  Reply.set_version(Register.m_Configuration.version());
  Reply.set_winner_operation_id(Register.m_OperationId);
  Reply.set_winner_operator_name(Register.m_OperatorName);
  return Reply;
}

schema::AcceptReply
applyConfiguration(ConfigurationRegister &Register,
                   const schema::AcceptConfiguration &Command) {
  const std::uint64_t Version = Register.m_Configuration.version() + 1;
  Register.m_Configuration = Command.configuration();
  Register.m_Configuration.set_version(Version);
  Register.m_OperationId = Command.operation_id();
  Register.m_OperatorName = Command.operator_name();
  schema::AcceptReply Reply;
  Reply.set_verdict(schema::AcceptReply::ACCEPTED);
  Reply.set_version(Version);
  Reply.set_winner_operation_id(Register.m_OperationId);
  Reply.set_winner_operator_name(Register.m_OperatorName);
  return Reply;
}

void storeOperation(ConfigurationRegister &Register,
                    schema::OperationRecord Record) {
  if (Register.m_OperationOrder.size() >= MaxOperations) {
    Register.m_Operations.erase(Register.m_OperationOrder.front());
    Register.m_OperationOrder.pop_front();
  }
  Register.m_OperationOrder.push_back(Record.operation_id());
  const std::string Id = Record.operation_id();
  Register.m_Operations.insert_or_assign(Id, std::move(Record));
}

} // namespace

schema::AcceptReply accept(ConfigurationRegister &Register,
                           const schema::AcceptConfiguration &Command,
                           std::uint64_t TimeMs) {
  const std::uint64_t Digest = digestOf(Command);
  const auto Known = Register.m_Operations.find(Command.operation_id());
  if (Known != Register.m_Operations.end())
    return Known->second.digest() == Digest ? Known->second.reply()
                                            : conflictReply(Register);

  const bool IsCurrent =
      Command.planned_against() == Register.m_Configuration.version();
  schema::AcceptReply Reply = IsCurrent ? applyConfiguration(Register, Command)
                                        : conflictReply(Register);
  if (Command.operation_id().empty())
    return Reply;
  schema::OperationRecord Record;
  Record.set_operation_id(Command.operation_id());
  *Record.mutable_reply() = Reply;
  Record.set_accepted_ms(TimeMs);
  Record.set_digest(Digest);
  storeOperation(Register, std::move(Record));
  return Reply;
}

void saveConfiguration(const ConfigurationRegister &Register,
                       schema::StateSnapshot &Snapshot) {
  *Snapshot.mutable_configuration() = Register.m_Configuration;
  Snapshot.set_last_operation_id(Register.m_OperationId);
  Snapshot.set_last_operator_name(Register.m_OperatorName);
  for (const std::string &Id : Register.m_OperationOrder)
    *Snapshot.add_operations() = Register.m_Operations.at(Id);
}

ConfigurationRegister
restoreConfiguration(const schema::StateSnapshot &Snapshot) {
  ConfigurationRegister Register;
  Register.m_Configuration = Snapshot.configuration();
  Register.m_OperationId = Snapshot.last_operation_id();
  Register.m_OperatorName = Snapshot.last_operator_name();
  for (const schema::OperationRecord &Record : Snapshot.operations())
    storeOperation(Register, Record);
  return Register;
}

} // namespace mangocart
