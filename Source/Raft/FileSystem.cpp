// Implementation of FileSystem with POSIX calls.
#include "Raft/FileSystem.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace mangocart {

namespace {

constexpr mode_t FolderMode = 0700;
constexpr mode_t FileMode = 0600;

FileError systemError(const char *Operation, const std::string &Path) {
  return {Operation, Path, std::generic_category().message(errno)};
}

// Owns a file descriptor; -1 if there is none.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int Value) : m_Value(Value) {}
  ~FileDescriptor() {
    if (isOpen())
      ::close(m_Value);
  }
  FileDescriptor(FileDescriptor &&Other) noexcept
      : m_Value(std::exchange(Other.m_Value, -1)) {}
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept {
    std::swap(m_Value, Other.m_Value);
    return *this;
  }

  bool isOpen() const { return m_Value >= 0; }
  int get() const { return m_Value; }

private:
  int m_Value = -1;
};

class PosixFileSystem : public FileSystem {
public:
  explicit PosixFileSystem(DiskFullHandler OnDiskFull)
      : m_OnDiskFull(std::move(OnDiskFull)) {}

  Result<void, FileError> makeFolder(const std::string &Folder) override {
    if (retryWhileFull([&] { return ::mkdir(Folder.c_str(), FolderMode); }) !=
            0 &&
        errno != EEXIST)
      return systemError("make folder", Folder);
    return success();
  }

  Result<void, FileError> lockFolder(const std::string &Folder) override {
    const std::string Path = Folder + "/lock";
    m_Lock = FileDescriptor(static_cast<int>(retryWhileFull([&] {
      return ::open(Path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, FileMode);
    })));
    if (!m_Lock.isOpen() || ::flock(m_Lock.get(), LOCK_EX | LOCK_NB) != 0)
      return systemError("lock", Path);
    return success();
  }

  Result<std::vector<std::string>, FileError>
  list(const std::string &Folder) override {
    std::error_code Error;
    std::vector<std::string> Names;
    for (const auto &Entry : std::filesystem::directory_iterator(Folder, Error))
      Names.push_back(Entry.path().filename().string());
    if (Error)
      return FileError{"list", Folder, Error.message()};
    return Names;
  }

  Result<std::string, FileError> read(const std::string &Path) override {
    std::ifstream In(Path, std::ios::binary);
    if (!In)
      return systemError("read", Path);
    std::string Bytes{std::istreambuf_iterator<char>(In),
                      std::istreambuf_iterator<char>()};
    if (In.bad())
      return systemError("read", Path);
    return Bytes;
  }

  Result<void, FileError> append(const std::string &Path,
                                 std::string_view Bytes) override {
    while (!Bytes.empty()) {
      // A write to a full disk may have been partial; the rest follows it.
      const ssize_t Written = retryWhileFull([&] {
        return openForAppend(Path)
                   ? ::write(m_AppendFile.get(), Bytes.data(), Bytes.size())
                   : -1;
      });
      if (Written < 0 && errno == EINTR)
        continue;
      if (Written < 0)
        return systemError("append", Path);
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
    }
    return success();
  }

  Result<void, FileError> truncate(const std::string &Path,
                                   std::uint64_t Size) override {
    if (retryWhileFull([&] {
          return ::truncate(Path.c_str(), static_cast<off_t>(Size));
        }) != 0)
      return systemError("truncate", Path);
    return success();
  }

  Result<void, FileError> rename(const std::string &From,
                                 const std::string &To) override {
    m_AppendPath.clear();
    if (retryWhileFull([&] { return ::rename(From.c_str(), To.c_str()); }) != 0)
      return systemError("rename", From);
    return success();
  }

  Result<void, FileError> remove(const std::string &Path) override {
    if (m_AppendPath == Path)
      m_AppendPath.clear();
    if (::unlink(Path.c_str()) != 0)
      return systemError("remove", Path);
    return success();
  }

  Result<void, FileError> syncFile(const std::string &Path) override {
    if (retryWhileFull([&] {
          return openForAppend(Path) ? ::fdatasync(m_AppendFile.get()) : -1;
        }) != 0)
      return systemError("sync", Path);
    return success();
  }

  Result<void, FileError> syncFolder(const std::string &Folder) override {
    const FileDescriptor Opened(
        ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!Opened.isOpen() || ::fsync(Opened.get()) != 0)
      return systemError("sync folder", Folder);
    return success();
  }

private:
  // Repeats the call while it fails because the disk is full, until the handler
  // gives up. errno is that of the last call.
  template <class SystemCall> ssize_t retryWhileFull(SystemCall &&Call) {
    ssize_t Returned = Call();
    while (Returned < 0 && (errno == ENOSPC || errno == EDQUOT)) {
      const int Error = errno;
      const bool ShouldRetry = m_OnDiskFull && m_OnDiskFull();
      errno = Error;
      if (!ShouldRetry)
        break;
      // Opened anew, because the file may have been replaced to free space.
      m_AppendPath.clear();
      Returned = Call();
    }
    return Returned;
  }

  bool openForAppend(const std::string &Path) {
    if (m_AppendFile.isOpen() && m_AppendPath == Path)
      return true;
    m_AppendFile = FileDescriptor(::open(
        Path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, FileMode));
    m_AppendPath = Path;
    return m_AppendFile.isOpen();
  }

  const DiskFullHandler m_OnDiskFull;
  FileDescriptor m_Lock;
  // The file last written to stays open between appends. The path is cleared
  // when it may refer to another file.
  FileDescriptor m_AppendFile;
  std::string m_AppendPath;
};

} // namespace

std::unique_ptr<FileSystem> makePosixFileSystem(DiskFullHandler OnDiskFull) {
  return std::make_unique<PosixFileSystem>(std::move(OnDiskFull));
}

} // namespace mangocart
