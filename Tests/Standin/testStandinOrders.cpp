// Orders at the stand-in, with and without a check of their numbers.
#include "Standin/StandinOrders.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace mangocart;

TEST_CASE("orders are recorded, and refused by number where it is checked") {
  struct Row {
    bool m_ChecksNumbers;
    unsigned m_StatusOfOld;
    const char *m_LastLine;
  };
  const Row Rows[] = {
      {true, 409,
       R"({"order":"b","kind":"LOAD","fencing_number":12,"serial":2})"},
      {false, 200,
       R"({"order":"c","kind":"LOAD","fencing_number":11,"serial":3})"}};
  const auto File = std::filesystem::temp_directory_path() /
                    ("mangocart-orders-" + std::to_string(getpid()));
  for (const Row &Each : Rows) {
    CAPTURE(Each.m_ChecksNumbers);
    std::filesystem::remove(File);
    const auto Status = [&](const char *Id, const char *Number) {
      // A new process for each: the number in force is in the file.
      StandinOrders Orders(File.string(), Each.m_ChecksNumbers);
      REQUIRE(Orders.isOpen());
      HttpRequest Request{"POST", "/orders", {}, {}, {}};
      Request.m_Headers = {{"Mangocart-Order", Id},
                           {"Mangocart-Order-Kind", "LOAD"},
                           {"Mangocart-Fencing-Number", Number}};
      return Orders.take(Request).m_Head.m_Status;
    };
    CHECK(Status("none", "x") == 400);
    CHECK(Status("a", "12") == 200);
    CHECK(Status("b", "12") == 200);
    CHECK(Status("c", "11") == Each.m_StatusOfOld);
    std::ifstream Stream(File);
    std::string Last;
    for (std::string Line; std::getline(Stream, Line);)
      Last = Line;
    CHECK(Last == Each.m_LastLine);
  }
  std::filesystem::remove(File);
}
