// Verdicts on drafts, event by event.
#include "Load/AnswerCheck.h"

#include "Standin/DraftTokens.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

std::string event(std::string_view Data) {
  return "data: " + std::string(Data) + "\n\n";
}

} // namespace

TEST_CASE("a draft is the caller's own and whole, or it isn't ok") {
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
    Verdict m_Verdict;
    std::string m_Detail;
  };
  constexpr auto Cut = Verdict::CutLooksComplete;
  constexpr auto Mixed = Verdict::Mixed;
  const std::vector<Row> Rows{
      {"whole", Own + First + Second + Done, Verdict::Ok, ""},
      {"nothing", "", Cut, "no opening event"},
      {"no events", "hello", Cut, "no opening event"},
      {"no opening", First + Second + Done, Mixed,
       "another request's checksum"},
      {"another's opening", Opening(Other) + First + Second + Done, Mixed,
       "another request's checksum"},
      {"another's token", Own + First + Token(Other, 1) + Done, Mixed,
       "token 1 is another"},
      {"tokens out of order", Own + Second + First + Done, Mixed,
       "token 0 is another"},
      {"token twice", Own + First + First + Second + Done, Mixed,
       "token 1 is another"},
      {"token missing", Own + First + Done, Cut, "token 1 is missing"},
      {"half a token", Own + First + Second.substr(0, 12), Cut,
       "token 1 is missing"},
      {"no end", Own + First + Second, Cut, "closing event is missing"},
      {"half an end", Own + First + Second + "data: [DON", Cut,
       "closing event is missing"},
      {"a token too many", Own + First + Second + Token(Planned, 2) + Done,
       Mixed, "more events"},
      {"more after the end", Own + First + Second + Done + First, Mixed,
       "more events"}};
  for (const Row &Row : Rows) {
    INFO(Row.m_Name);
    const CheckedAnswer Checked =
        checkAnswer(Planned, {{200, {}}, Row.m_Body, {}});
    CHECK(Checked.m_Verdict == Row.m_Verdict);
    CHECK_THAT(Checked.m_Detail, Catch::Contains(Row.m_Detail));
  }
}
