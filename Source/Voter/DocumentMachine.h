// The state that the replicated log builds at voters: the configuration of the
// highest version, in the format in which it came.
#ifndef MANGOCART_VOTER_DOCUMENTMACHINE_H
#define MANGOCART_VOTER_DOCUMENTMACHINE_H

#include "Raft/StateMachine.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace mangocart {

struct VersionedDocument {
  // 0: none was accepted yet.
  std::uint64_t m_Version = 0;
  std::string m_Bytes;

  bool operator==(const VersionedDocument &) const = default;
};

using DocumentPtr = std::shared_ptr<const VersionedDocument>;

class DocumentMachine : public StateMachine {
public:
  DocumentMachine() : m_Document(std::make_shared<VersionedDocument>()) {}

  // Before the log starts. Called without the lock when a higher version has
  // been applied.
  void onChange(std::function<void()> Handler) {
    m_OnChange = std::move(Handler);
  }
  // Any thread; never null. Its version only grows.
  DocumentPtr document() const;

  std::string apply(std::uint64_t Index, std::string_view Command) override;
  std::string snapshot() const override;
  void restore(std::string_view Snapshot) override;
  // The state is small: snapshots are taken on the control thread.
  std::unique_ptr<StateMachine> makeEmpty() const override { return nullptr; }

private:
  void put(std::uint64_t Version, std::string Bytes);

  std::function<void()> m_OnChange;
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  DocumentPtr m_Document;
};

} // namespace mangocart

#endif
