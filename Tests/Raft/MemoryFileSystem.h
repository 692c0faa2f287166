// An in-memory file system that loses unsynced data in a simulated crash and in
// which one chosen operation fails.
#ifndef MANGOCART_TESTS_MEMORYFILESYSTEM_H
#define MANGOCART_TESTS_MEMORYFILESYSTEM_H

#include "Core/Random.h"
#include "Raft/FileSystem.h"

#include <map>
#include <memory>

namespace mangocart {

class MemoryFileSystem : public FileSystem {
public:
  struct File {
    std::string m_Bytes;
    std::string m_Synced;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  // The operation with this number and all later ones fail; 0: none.
  int m_FailAt = 0;
  // If not empty, only operations of this name are counted.
  std::string m_FailOnly;
  int m_Operations = 0;
  Names m_Names;

  // The process is killed: the files remain as they were written.
  void kill() {
    m_FailAt = 0;
    m_Operations = 0;
  }

  // Power is lost: discards unsynced data, except for a random part of the last
  // writes.
  void crash(Random &Generator) {
    m_Names = m_SyncedNames;
    for (auto &[Name, Content] : m_Names) {
      const std::string Written = Content->m_Bytes;
      Content->m_Bytes = Content->m_Synced;
      if (Written.size() > Content->m_Synced.size())
        Content->m_Bytes = Written.substr(
            0, uniform(Generator, Content->m_Synced.size(), Written.size()));
      Content->m_Synced = Content->m_Bytes;
    }
    kill();
  }

  Result<void, FileError> makeFolder(const std::string &) override {
    return success();
  }
  Result<void, FileError> lockFolder(const std::string &Folder) override {
    return outcomeOf("lock", Folder);
  }
  Result<std::vector<std::string>, FileError>
  list(const std::string &Folder) override {
    std::vector<std::string> Found;
    for (const auto &[Name, Content] : m_Names)
      Found.push_back(Name.substr(Folder.size() + 1));
    return Found;
  }
  Result<std::string, FileError> read(const std::string &Path) override {
    return m_Names.at(Path)->m_Bytes;
  }
  Result<void, FileError> append(const std::string &Path,
                                 std::string_view Bytes) override {
    auto &Content = m_Names[Path];
    if (!Content)
      Content = std::make_shared<File>();
    auto Done = outcomeOf("append", Path);
    Content->m_Bytes += Done ? Bytes : Bytes.substr(0, Bytes.size() / 2);
    return Done;
  }
  Result<void, FileError> truncate(const std::string &Path,
                                   std::uint64_t Size) override {
    auto Done = outcomeOf("truncate", Path);
    if (Done)
      m_Names.at(Path)->m_Bytes.resize(Size);
    return Done;
  }
  Result<void, FileError> rename(const std::string &From,
                                 const std::string &To) override {
    auto Done = outcomeOf("rename", From);
    if (Done) {
      m_Names[To] = m_Names.at(From);
      m_Names.erase(From);
    }
    return Done;
  }
  Result<void, FileError> remove(const std::string &Path) override {
    auto Done = outcomeOf("remove", Path);
    if (Done)
      m_Names.erase(Path);
    return Done;
  }
  Result<void, FileError> syncFile(const std::string &Path) override {
    auto Done = outcomeOf("sync", Path);
    if (Done)
      m_Names.at(Path)->m_Synced = m_Names.at(Path)->m_Bytes;
    return Done;
  }
  Result<void, FileError> syncFolder(const std::string &Folder) override {
    auto Done = outcomeOf("sync folder", Folder);
    if (Done)
      m_SyncedNames = m_Names;
    return Done;
  }

private:
  Result<void, FileError> outcomeOf(const char *Operation,
                                    const std::string &Path) {
    if (m_FailOnly.empty() || m_FailOnly == Operation)
      ++m_Operations;
    if (m_FailAt == 0 || m_Operations < m_FailAt)
      return success();
    return FileError{Operation, Path, "No space left on device"};
  }

  Names m_SyncedNames;
};

} // namespace mangocart

#endif
