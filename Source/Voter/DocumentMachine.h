// The state machine of the replicated log at voters: the configuration with the
// highest version, in the format in which it was received, and the evacuated
// availability zones.
#ifndef MANGOCART_VOTER_DOCUMENTMACHINE_H
#define MANGOCART_VOTER_DOCUMENTMACHINE_H

#include "Membership/Evacuations.h"
#include "Raft/StateMachine.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace mangocart {

struct VersionedDocument {
  // 0 if no configuration has been accepted yet.
  std::uint64_t m_Version = 0;
  std::string m_Bytes;

  bool operator==(const VersionedDocument &) const = default;
};

using DocumentPtr = std::shared_ptr<const VersionedDocument>;

class DocumentMachine : public StateMachine {
public:
  DocumentMachine() : m_Document(std::make_shared<VersionedDocument>()) {}

  // Must be called before the log starts. The handler is called without the
  // lock after a higher version or a change of the evacuations was applied.
  void onChange(std::function<void()> Handler) {
    m_OnChange = std::move(Handler);
  }
  // Called from any thread; never null. The version never decreases.
  DocumentPtr document() const;
  // Called from any thread. The number of the last change never decreases.
  Evacuations evacuations() const;
  // Whether the state or a stored command changes evacuations; called from any
  // thread.
  bool mayHaveEvacuations() const;

  std::string apply(std::uint64_t Index, std::string_view Command) override;
  void noteStored(std::string_view Command) override;
  std::string snapshot() const override;
  void restore(std::string_view Snapshot) override;
  // The state is small, so snapshots are taken on the control thread.
  std::unique_ptr<StateMachine> makeEmpty() const override { return nullptr; }

private:
  void put(std::uint64_t Version, std::string Bytes);
  // Replaces the evacuations if the number of their last change is higher.
  void setEvacuations(Evacuations State);

  std::function<void()> m_OnChange;
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  DocumentPtr m_Document;
  Evacuations m_Evacuations;
  // A change of the evacuations was stored but may not be applied yet.
  bool m_HasStoredChange = false;
};

} // namespace mangocart

#endif
