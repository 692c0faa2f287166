// Checks of draft responses, event by event.
#include "Load/ResponseCheck.h"

#include "Standin/DraftTokens.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

std::string event(std::string_view Data) {
  return "data: " + std::string(Data) + "\n\n";
}

} // namespace

TEST_CASE("a draft response is ok only if it is complete and belongs to the "
          "request") {
  LoadOptions Options;
  Options.m_RunName = "r";
  Options.m_MaxTokens = 2;
  const PlannedRequest Planned = planRequest(Options, 1);
  const PlannedRequest Other = planRequest(Options, 2);
  const auto Opening = [](const PlannedRequest &Of) {
    return event(R"({"checksum":")" + checksumText(Of.m_Body) + "\"}");
  };
  const auto Token = [](const PlannedRequest &Of, std::uint64_t Index) {
    return event(draftTokenData(Of.m_Prompt, Index));
  };
  const std::string Own = Opening(Planned);
  const std::string First = Token(Planned, 0);
  const std::string Second = Token(Planned, 1);
  const std::string Done = event(DraftDoneData);
  struct Row {
    const char *m_Name;
    std::string m_Body;
    CheckResult m_Result;
    std::string m_Detail;
  };
  constexpr auto Truncated = CheckResult::Truncated;
  constexpr auto Mismatched = CheckResult::Mismatched;
  const std::vector<Row> Rows{
      {"complete", Own + First + Second + Done, CheckResult::Ok, ""},
      {"nothing", "", Truncated, "no opening event"},
      {"no events", "hello", Truncated, "no opening event"},
      {"no opening", First + Second + Done, Mismatched,
       "checksum of another request"},
      {"another's opening", Opening(Other) + First + Second + Done, Mismatched,
       "checksum of another request"},
      {"another's token", Own + First + Token(Other, 1) + Done, Mismatched,
       "token 1 differs"},
      {"tokens out of order", Own + Second + First + Done, Mismatched,
       "token 0 differs"},
      {"token twice", Own + First + First + Second + Done, Mismatched,
       "token 1 differs"},
      {"token missing", Own + First + Done, Truncated, "token 1 is missing"},
      {"half a token", Own + First + Second.substr(0, 12), Truncated,
       "token 1 is missing"},
      {"no end", Own + First + Second, Truncated, "closing event is missing"},
      {"half an end", Own + First + Second + "data: [DON", Truncated,
       "closing event is missing"},
      {"a token too many", Own + First + Second + Token(Planned, 2) + Done,
       Mismatched, "more events"},
      {"more after the end", Own + First + Second + Done + First, Mismatched,
       "more events"}};
  for (const Row &Row : Rows) {
    INFO(Row.m_Name);
    const CheckedResponse Checked =
        checkResponse(Planned, {{200, {}}, Row.m_Body, {}});
    CHECK(Checked.m_Result == Row.m_Result);
    CHECK_THAT(Checked.m_Detail, Catch::Contains(Row.m_Detail));
  }
}
