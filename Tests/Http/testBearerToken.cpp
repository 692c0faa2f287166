// Which tokens match, and which files give one.
#include "Http/BearerToken.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace mangocart;

namespace fs = std::filesystem;

TEST_CASE("only the whole token matches, and no token matches nothing") {
  const std::string Long(300, 'x');
  CHECK(tokenMatches("0123456789abcdef", "0123456789abcdef"));
  CHECK_FALSE(tokenMatches("0123456789abcdeF", "0123456789abcdef"));
  CHECK_FALSE(tokenMatches("0123456789abcde", "0123456789abcdef"));
  CHECK_FALSE(tokenMatches(std::string("0123\0", 5), "0123"));
  CHECK_FALSE(tokenMatches("", "0123456789abcdef"));
  CHECK_FALSE(tokenMatches("", ""));
  CHECK_FALSE(tokenMatches(Long, Long));
}

TEST_CASE("the token of a header") {
  CHECK(bearerToken("Bearer abc") == "abc");
  CHECK(bearerToken("bearer abc") == "abc");
  CHECK(bearerToken("Basic abc").empty());
  CHECK(bearerToken("Bearer ").empty());
}

TEST_CASE("token files") {
  struct Row {
    const char *m_Text;
    const char *m_Token;
    const char *m_Error;
  };
  const Row Rows[] = {
      {"0123456789abcdef\n", "0123456789abcdef", ""},
      {"  0123456789abcdef \r\nmore", "0123456789abcdef", ""},
      {"", "", ": the first line is empty; expected a token"},
      {"\n0123456789abcdef", "", ": the first line is empty; expected a token"},
      {"short", "", ": the token has 5 bytes; expected 16 to 256"},
  };
  const std::string File = fs::temp_directory_path() / "mangocart-token-test";
  for (const Row &R : Rows) {
    std::ofstream(File) << R.m_Text;
    fs::permissions(File, fs::perms::owner_read | fs::perms::owner_write);
    const auto Read = readTokenFile(File);
    if (Read)
      CHECK(Read.value() == TokenFile{R.m_Token, ""});
    else
      CHECK(toString(Read.error()) == File + R.m_Error);
  }
  std::ofstream(File) << "0123456789abcdef";
  fs::permissions(File, fs::perms::group_read, fs::perm_options::add);
  CHECK(readTokenFile(File).value().m_Warning ==
        File + ": others may read the token; run chmod 600 on the file");
  fs::remove(File);
  CHECK(toString(readTokenFile(File).error()) ==
        File + ": can't read the token: No such file or directory");
}
