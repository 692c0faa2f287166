// Compare-and-set of the expert maps.
#include "State/ExpertMapRegister.h"

namespace mangocart {

namespace {

bool isActive(const schema::ExpertMapRecord &Record,
              const schema::ActivateExpertMap &Command) {
  return Record.map_version() == Command.map_version() &&
         Record.from_step() == Command.from_step() &&
         Record.map() == Command.map();
}

bool canReplace(const schema::ExpertMapRecord &Record,
                const schema::ActivateExpertMap &Command) {
  return Record.map_version() == Command.replaces() &&
         Record.map_version() < Command.map_version();
}

} // namespace

schema::ActivateReply activate(ExpertMapRegister &Register,
                               const schema::ActivateExpertMap &Command) {
  const auto Found = Register.m_Maps.find(Command.group());
  schema::ExpertMapRecord Record;
  if (Found != Register.m_Maps.end())
    Record = Found->second;
  bool Activated = Found != Register.m_Maps.end() && isActive(Record, Command);
  if (!Activated && canReplace(Record, Command)) {
    Record.set_group(Command.group());
    Record.set_map_version(Command.map_version());
    Record.set_from_step(Command.from_step());
    Record.set_map(Command.map());
    Register.m_Maps.insert_or_assign(Command.group(), Record);
    Activated = true;
  }
  schema::ActivateReply Reply;
  Reply.set_activated(Activated);
  Reply.set_map_version(Record.map_version());
  Reply.set_from_step(Record.from_step());
  return Reply;
}

void saveExpertMaps(const ExpertMapRegister &Register,
                    schema::StateSnapshot &Snapshot) {
  for (const auto &[Group, Record] : Register.m_Maps)
    *Snapshot.add_expert_maps() = Record;
}

ExpertMapRegister restoreExpertMaps(const schema::StateSnapshot &Snapshot) {
  ExpertMapRegister Register;
  for (const schema::ExpertMapRecord &Record : Snapshot.expert_maps())
    Register.m_Maps.insert_or_assign(Record.group(), Record);
  return Register;
}

} // namespace mangocart
