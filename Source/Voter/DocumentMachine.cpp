// Applies commands to the document and the evacuations, and takes and restores
// snapshots of both.
#include "Voter/DocumentMachine.h"

#include "Log.pb.h"

namespace mangocart {

namespace {

EvacuationChange fromSchema(const schema::ChangeEvacuation &Message) {
  return {Message.availability_zone(), Message.withdraw(),
          Message.expected_change()};
}

} // namespace

DocumentPtr DocumentMachine::document() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Document;
}

Evacuations DocumentMachine::evacuations() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Evacuations;
}

void DocumentMachine::setEvacuations(Evacuations State) {
  {
    const std::lock_guard Lock(m_Mutex);
    if (State.m_Change <= m_Evacuations.m_Change)
      return;
    m_Evacuations = std::move(State);
  }
  if (m_OnChange)
    m_OnChange();
}

void DocumentMachine::put(std::uint64_t Version, std::string Bytes) {
  {
    const std::lock_guard Lock(m_Mutex);
    if (Version <= m_Document->m_Version)
      return;
    m_Document = std::make_shared<const VersionedDocument>(
        VersionedDocument{Version, std::move(Bytes)});
  }
  if (m_OnChange)
    m_OnChange();
}

std::string DocumentMachine::apply(std::uint64_t, std::string_view Command) {
  schema::Command Parsed;
  schema::CommandReply Reply;
  if (!Parsed.ParseFromArray(Command.data(), static_cast<int>(Command.size())))
    return Reply.SerializeAsString();
  if (Parsed.has_change_evacuation()) {
    setEvacuations(
        applyChange(evacuations(), fromSchema(Parsed.change_evacuation())));
    evacuationsToSchema(evacuations(), *Reply.mutable_evacuations());
    return Reply.SerializeAsString();
  }
  if (Parsed.has_put_document())
    put(Parsed.put_document().version(),
        std::move(*Parsed.mutable_put_document()->mutable_document()));
  const DocumentPtr Kept = document();
  Reply.mutable_document()->set_version(Kept->m_Version);
  if (Parsed.read_document())
    Reply.mutable_document()->set_document(Kept->m_Bytes);
  return Reply.SerializeAsString();
}

bool DocumentMachine::mayHaveEvacuations() const {
  const std::lock_guard Lock(m_Mutex);
  return m_HasStoredChange || m_Evacuations.m_Change > 0;
}

void DocumentMachine::noteStored(std::string_view Command) {
  schema::Command Parsed;
  if (!Parsed.ParseFromArray(Command.data(),
                             static_cast<int>(Command.size())) ||
      !Parsed.has_change_evacuation() ||
      Parsed.change_evacuation().availability_zone().empty())
    return;
  const std::lock_guard Lock(m_Mutex);
  m_HasStoredChange = true;
}

std::string DocumentMachine::snapshot() const {
  const DocumentPtr Kept = document();
  schema::DocumentSnapshot Snapshot;
  Snapshot.set_version(Kept->m_Version);
  Snapshot.set_document(Kept->m_Bytes);
  evacuationsToSchema(evacuations(), *Snapshot.mutable_evacuations());
  return Snapshot.SerializeAsString();
}

void DocumentMachine::restore(std::string_view Snapshot) {
  schema::DocumentSnapshot Parsed;
  if (!Parsed.ParseFromArray(Snapshot.data(),
                             static_cast<int>(Snapshot.size())))
    return;
  // A snapshot of a program without evacuations has none. They are set before
  // the document, so that no gateway gets the document without them.
  setEvacuations(evacuationsFromSchema(Parsed.evacuations()));
  put(Parsed.version(), std::move(*Parsed.mutable_document()));
}

} // namespace mangocart
