// Writes a temporary file and renames it, so that a reader never sees a partial
// file.
#include "Command/TextFile.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

namespace mangocart {

std::string writeTextFile(const std::string &File, const std::string &Text) {
  const std::string TemporaryFile = File + ".new";
  errno = 0;
  std::ofstream Stream(TemporaryFile, std::ios::binary | std::ios::trunc);
  Stream << Text;
  Stream.close();
  if (!Stream)
    return File + ": can't write: " + std::strerror(errno);
  if (std::rename(TemporaryFile.c_str(), File.c_str()) != 0)
    return File + ": can't replace: " + std::strerror(errno);
  return {};
}

} // namespace mangocart
