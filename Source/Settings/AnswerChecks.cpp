// The checks, one function each.
#include "Settings/AnswerChecks.h"

#include "Questionnaire.pb.h"
#include "Settings/AddressBook.h"
#include "Settings/TextForms.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

namespace mangocart {

namespace {

using schema::Questionnaire;

void checkZones(const Questionnaire &Answers, const KeyLines &Lines,
                SettingsErrors &Errors) {
  std::vector<std::string> Known;
  for (const auto &Zone : Answers.availability_zones())
    Known.push_back(Zone.name());
  for (int I = 0; I < Answers.entry_vms_size(); ++I) {
    const std::string &Zone = Answers.entry_vms(I).availability_zone();
    if (std::find(Known.begin(), Known.end(), Zone) != Known.end())
      continue;
    Errors.push_back(
        errorAt(Lines, fmt::format("entry_vms[{}].availability_zone", I),
                quoted(Zone), fmt::format("one of {}", fmt::join(Known, ", ")),
                "mend the name, or add the availability zone"));
  }
}

void checkAddresses(const Questionnaire &Answers, const KeyLines &Lines,
                    SettingsErrors &Errors) {
  AddressBook Book(Lines);
  for (int I = 0; I < Answers.entry_vms_size(); ++I) {
    const schema::EntryVmAnswer &Vm = Answers.entry_vms(I);
    const std::string Key = fmt::format("entry_vms[{}]", I);
    Book.claim(Key + ".caller_port", Vm.address(), Vm.caller_port(), Errors);
    Book.claim(Key + ".admin_port", Vm.address(), Vm.admin_port(), Errors);
    Book.claim(Key + ".peer_port", Vm.address(), Vm.peer_port(), Errors);
  }
}

// One of the path prefixes covers the other, whole segments compared.
bool overlap(std::string_view A, std::string_view B) {
  const auto Covers = [](std::string_view Prefix, std::string_view Path) {
    return Prefix == "/" || Path == Prefix ||
           (Path.starts_with(Prefix) && Path[Prefix.size()] == '/');
  };
  return Covers(A, B) || Covers(B, A);
}

struct RoutePlace {
  int m_Service;
  std::string m_Path;
  std::string m_Key;
};

std::vector<RoutePlace> routePlaces(const Questionnaire &Answers) {
  std::vector<RoutePlace> Places;
  for (int S = 0; S < Answers.services_size(); ++S)
    for (int R = 0; R < Answers.services(S).routes_size(); ++R)
      Places.push_back({S, Answers.services(S).routes(R).path(),
                        fmt::format("services[{}].routes[{}].path", S, R)});
  return Places;
}

// Within one service a longer prefix may refine a shorter one.
bool contradict(const RoutePlace &A, const RoutePlace &B) {
  if (A.m_Service == B.m_Service)
    return A.m_Path == B.m_Path;
  return overlap(A.m_Path, B.m_Path);
}

void checkRoutes(const Questionnaire &Answers, const KeyLines &Lines,
                 SettingsErrors &Errors) {
  const std::vector<RoutePlace> Places = routePlaces(Answers);
  for (std::size_t I = 0; I < Places.size(); ++I)
    for (std::size_t J = 0; J < I; ++J)
      if (contradict(Places[I], Places[J]))
        Errors.push_back(errorAt(
            Lines, Places[I].m_Key,
            fmt::format("{}, which overlaps {} of service {} on line {}",
                        quoted(Places[I].m_Path), quoted(Places[J].m_Path),
                        Answers.services(Places[J].m_Service).name(),
                        Lines.lineOf(Places[J].m_Key)),
            "a path prefix that no other service answers",
            "change one of the paths"));
}

void checkDisks(const Questionnaire &Answers, const KeyLines &Lines,
                SettingsErrors &Errors) {
  const bool Any = std::any_of(
      Answers.entry_vms().begin(), Answers.entry_vms().end(),
      [](const schema::EntryVmAnswer &Vm) { return Vm.has_disk(); });
  if (!Any)
    Errors.push_back(errorAt(Lines, "entry_vms", "no entry VM with a disk",
                             "at least one, and three in three availability "
                             "zones to outlive the loss of one",
                             "set has_disk = true where there is a disk"));
}

} // namespace

SettingsErrors checkAnswers(const Questionnaire &Answers,
                            const KeyLines &Lines) {
  SettingsErrors Errors;
  checkZones(Answers, Lines, Errors);
  checkAddresses(Answers, Lines, Errors);
  checkRoutes(Answers, Lines, Errors);
  checkDisks(Answers, Lines, Errors);
  return Errors;
}

} // namespace mangocart
