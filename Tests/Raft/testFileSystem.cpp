// A full disk refuses every write for some time. A voter that ended itself on
// it started again and again until there was space, up to eleven times in a
// day. /dev/full refuses writes like a full disk; a link to it that is replaced
// by a file stands for a disk that has space again.
#include "Raft/FileSystem.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

#include <unistd.h>

using namespace mangocart;

namespace {

class FullDisk {
public:
  FullDisk()
      : m_Folder(std::filesystem::temp_directory_path() /
                 ("mangocart-full-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(m_Folder);
    std::filesystem::create_directory(m_Folder);
    std::filesystem::create_symlink("/dev/full", path());
  }
  ~FullDisk() { std::filesystem::remove_all(m_Folder); }
  FullDisk(const FullDisk &) = delete;
  FullDisk &operator=(const FullDisk &) = delete;

  std::string path() const { return (m_Folder / "log").string(); }
  void freeSpace() { std::filesystem::remove(path()); }
  std::string content() const {
    std::ifstream In(path(), std::ios::binary);
    return {std::istreambuf_iterator<char>(In),
            std::istreambuf_iterator<char>()};
  }

private:
  const std::filesystem::path m_Folder;
};

} // namespace

TEST_CASE("a write to a full disk waits until there is space") {
  FullDisk Disk;
  int Waits = 0;
  const auto Files = makePosixFileSystem([&] {
    if (++Waits == 3)
      Disk.freeSpace();
    return true;
  });
  REQUIRE(Files->append(Disk.path(), "record").has_value());
  CHECK(Waits == 3);
  CHECK(Disk.content() == "record");
  REQUIRE(Files->append(Disk.path(), " two").has_value());
  REQUIRE(Files->syncFile(Disk.path()).has_value());
  CHECK(Waits == 3);
  CHECK(Disk.content() == "record two");
}

TEST_CASE("a write to a full disk fails once the handler gives up") {
  FullDisk Disk;
  int Waits = 0;
  const auto Files = makePosixFileSystem([&] { return ++Waits < 5; });
  const auto Written = Files->append(Disk.path(), "record");
  REQUIRE(Written.has_error());
  CHECK(Written.error().m_Operation == "append");
  CHECK(Waits == 5);
}

TEST_CASE("a write to a full disk fails at once without a handler") {
  FullDisk Disk;
  CHECK(makePosixFileSystem()->append(Disk.path(), "record").has_error());
}

TEST_CASE("other failures of a write are not repeated") {
  int Waits = 0;
  const auto Files = makePosixFileSystem([&] { return ++Waits < 5; });
  CHECK(Files->append("/nonexistent/folder/log", "record").has_error());
  CHECK(Waits == 0);
}
