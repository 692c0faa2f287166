// The checks, one function each.
#include "Settings/SettingsChecks.h"

#include "Settings.pb.h"
#include "Settings/AddressBook.h"

#include <fmt/format.h>

#include <algorithm>

namespace mangocart {

namespace {

using Entries = google::protobuf::RepeatedPtrField<schema::PeerAddress>;

constexpr int MaxVoters = 5;

std::string entryKey(int Index, std::string_view Field) {
  return fmt::format("entries[{}].{}", Index, Field);
}

// Index of the entry VM of that name, -1 when there is none.
int findEntry(const Entries &All, const std::string &Name) {
  const auto Found = std::find_if(
      All.begin(), All.end(),
      [&](const schema::PeerAddress &Entry) { return Entry.name() == Name; });
  return Found == All.end() ? -1 : static_cast<int>(Found - All.begin());
}

void claimEntries(const Entries &All, int Except, AddressBook &Book,
                  SettingsErrors &Errors) {
  for (int I = 0; I < All.size(); ++I)
    if (I != Except)
      Book.claim(entryKey(I, "peer_port"), All[I].address(), All[I].peer_port(),
                 Errors);
}

template <class T>
void checkSame(const KeyLines &Lines, int Index, std::string_view Field,
               const T &InEntries, const T &Own, SettingsErrors &Errors) {
  if (InEntries == Own)
    return;
  Errors.push_back(
      errorAt(Lines, entryKey(Index, Field), fmt::format("{}", InEntries),
              fmt::format("{}, as {} says on line {}", Own, Field,
                          Lines.lineOf(std::string(Field))),
              "make this VM's own settings and its place in entries the same"));
}

void checkOwnPlace(const schema::EntrySettings &Settings, int Index,
                   const KeyLines &Lines, SettingsErrors &Errors) {
  if (Index < 0) {
    Errors.push_back(errorAt(Lines, "entries",
                             fmt::format("no {}", quoted(Settings.name())),
                             "all entry VMs, this one included",
                             "add this VM to entries, or mend its name"));
    return;
  }
  const schema::PeerAddress &Own = Settings.entries(Index);
  checkSame(Lines, Index, "address", Own.address(), Settings.address(), Errors);
  checkSame(Lines, Index, "peer_port", Own.peer_port(), Settings.peer_port(),
            Errors);
  checkSame(Lines, Index, "availability_zone", Own.availability_zone(),
            Settings.availability_zone(), Errors);
  if (Own.voter() && Settings.data_folder().empty())
    Errors.push_back(errorAt(Lines, entryKey(Index, "voter"),
                             "a voter without data_folder",
                             "a data folder for each voter",
                             "add data_folder, or set voter = false"));
}

void checkVoters(const Entries &All, const KeyLines &Lines,
                 SettingsErrors &Errors) {
  const auto Voters = std::count_if(
      All.begin(), All.end(),
      [](const schema::PeerAddress &Entry) { return Entry.voter(); });
  if (Voters % 2 == 1 && Voters <= MaxVoters)
    return;
  Errors.push_back(
      errorAt(Lines, "entries", fmt::format("{} voters", Voters),
              "an odd number of voters, 1, 3 or 5",
              "set voter = true on one entry VM with a disk in each of three "
              "availability zones"));
}

} // namespace

SettingsErrors checkEntrySettings(const schema::EntrySettings &Settings,
                                  const KeyLines &Lines) {
  SettingsErrors Errors;
  AddressBook Book(Lines);
  Book.claim("caller_port", Settings.address(), Settings.caller_port(), Errors);
  Book.claim("admin_port", Settings.address(), Settings.admin_port(), Errors);
  Book.claim("peer_port", Settings.address(), Settings.peer_port(), Errors);
  const int Own = findEntry(Settings.entries(), Settings.name());
  claimEntries(Settings.entries(), Own, Book, Errors);
  checkOwnPlace(Settings, Own, Lines, Errors);
  checkVoters(Settings.entries(), Lines, Errors);
  return Errors;
}

SettingsErrors checkAgentSettings(const schema::AgentSettings &Settings,
                                  const KeyLines &Lines) {
  constexpr int NoneExcepted = -1;
  SettingsErrors Errors;
  AddressBook Book(Lines);
  Book.claim("peer_port", Settings.address(), Settings.peer_port(), Errors);
  Book.claim("admin_port", Settings.address(), Settings.admin_port(), Errors);
  Book.claim("backend_port", Settings.backend_address(),
             Settings.backend_port(), Errors);
  claimEntries(Settings.entries(), NoneExcepted, Book, Errors);
  return Errors;
}

SettingsErrors checkGatewaySettings(const schema::GatewaySettings &Settings,
                                    const KeyLines &Lines) {
  SettingsErrors Errors;
  if (Settings.caller_endpoint() == Settings.health_endpoint())
    Errors.push_back(errorAt(Lines, "health_endpoint",
                             quoted(Settings.health_endpoint()),
                             "another endpoint than caller_endpoint",
                             "give the health check a port of its own"));
  return Errors;
}

SettingsErrors checkVoterSettings(const schema::VoterSettings &Settings,
                                  const KeyLines &Lines) {
  SettingsErrors Errors;
  if (Settings.peer_port() == Settings.metrics_port())
    Errors.push_back(errorAt(Lines, "metrics_port",
                             std::to_string(Settings.metrics_port()),
                             "another port than peer_port",
                             "give the metrics page a port of its own"));
  return Errors;
}

} // namespace mangocart
