// Order log of the simulated backend server, with and without fencing.
#include "Standin/StandinOrderHandler.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace mangocart;

TEST_CASE(
    "orders are logged, and outdated ones are rejected if fencing is checked") {
  struct Row {
    bool m_ChecksFencing;
    unsigned m_OutdatedStatus;
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
    CAPTURE(Each.m_ChecksFencing);
    std::filesystem::remove(File);
    const auto Status = [&](const char *Id, const char *Number) {
      // Simulates a restart for each order: the highest fencing number is read
      // from the file.
      StandinOrderHandler Orders(File.string(), Each.m_ChecksFencing);
      REQUIRE(Orders.isOpen());
      HttpRequest Request{"POST", "/orders", {}, {}, {}};
      Request.m_Headers = {{"Mangocart-Order", Id},
                           {"Mangocart-Order-Kind", "LOAD"},
                           {"Mangocart-Fencing-Number", Number}};
      return Orders.handle(Request).m_Head.m_Status;
    };
    CHECK(Status("none", "x") == 400);
    CHECK(Status("a", "12") == 200);
    CHECK(Status("b", "12") == 200);
    CHECK(Status("c", "11") == Each.m_OutdatedStatus);
    std::ifstream Stream(File);
    std::string Last;
    for (std::string Line; std::getline(Stream, Line);)
      Last = Line;
    CHECK(Last == Each.m_LastLine);
  }
  std::filesystem::remove(File);
}
