// A new folder for the files of a test's processes, removed with all of its
// files unless MANGOCART_KEEP_LOGS is set.
#ifndef MANGOCART_TESTS_TEMPORARYFOLDER_H
#define MANGOCART_TESTS_TEMPORARYFOLDER_H

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <system_error>

namespace mangocart::test {

class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "mangocart-XXXXXX").string();
    if (!::mkdtemp(Template.data()))
      throw std::runtime_error("cannot create a temporary folder");
    m_Path = Template;
  }
  ~TemporaryFolder() {
    std::error_code Ignored;
    if (!std::getenv("MANGOCART_KEEP_LOGS"))
      std::filesystem::remove_all(m_Path, Ignored);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::filesystem::path &path() const { return m_Path; }

private:
  std::filesystem::path m_Path;
};

} // namespace mangocart::test

#endif
