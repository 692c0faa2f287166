// Conversion between group records and the messages of the log.
#include "Experts/GroupRecord.h"

#include "ExpertMapState.pb.h"
#include "Log.pb.h"

namespace mangocart {

namespace {

constexpr unsigned BitsPerByte = 8;
constexpr unsigned ByteMask = 0xFF;

void save(const PlacedMap &Map, schema::PlacedMapState &To) {
  To.set_version(Map.m_Id.m_Version);
  To.set_number(Map.m_Id.m_FencingNumber);
  if (!Map.m_Map)
    return;
  const GroupShape &Shape = Map.m_Map->m_Shape;
  To.set_ranks(Shape.m_Ranks);
  To.set_experts(Shape.m_Experts);
  To.set_layers(Shape.m_Layers);
  To.set_slots_per_rank(Shape.m_SlotsPerRank);
  std::string &Bytes = *To.mutable_slots();
  for (const ExpertId Expert : Map.m_Map->m_Slots) {
    Bytes.push_back(static_cast<char>(Expert & ByteMask));
    Bytes.push_back(static_cast<char>(Expert >> BitsPerByte));
  }
}

// Returns nothing if the map violates its invariants.
std::optional<PlacedMap> restore(const schema::PlacedMapState &From) {
  ExpertMap Map;
  Map.m_Shape = {.m_Ranks = From.ranks(),
                 .m_Experts = From.experts(),
                 .m_Layers = From.layers(),
                 .m_SlotsPerRank = From.slots_per_rank()};
  const std::string &Bytes = From.slots();
  for (std::size_t I = 0; I + 1 < Bytes.size(); I += 2) {
    const auto Low = static_cast<unsigned char>(Bytes[I]);
    const auto High = static_cast<unsigned char>(Bytes[I + 1]);
    Map.m_Slots.push_back(
        static_cast<ExpertId>(Low | unsigned{High} << BitsPerByte));
  }
  if (!isValidShape(Map.m_Shape) || !findInvariantViolation(Map).empty())
    return std::nullopt;
  return PlacedMap{{From.version(), From.number()},
                   std::make_shared<const ExpertMap>(std::move(Map))};
}

} // namespace

schema::ActivateExpertMap toCommand(const std::string &Group,
                                    const GroupRecord &Record,
                                    std::uint64_t Replaces) {
  schema::ExpertMapState State;
  save(Record.m_Current, *State.mutable_current());
  if (Record.m_Previous.m_Map)
    save(Record.m_Previous, *State.mutable_previous());
  for (const std::uint64_t Incarnation : Record.m_Incarnations)
    State.add_incarnations(Incarnation);
  schema::ActivateExpertMap Command;
  Command.set_group(Group);
  Command.set_map_version(Record.m_Version);
  Command.set_from_step(Record.m_FromStep);
  Command.set_replaces(Replaces);
  State.SerializeToString(Command.mutable_map());
  return Command;
}

std::optional<GroupRecord> fromLog(const schema::ExpertMapRecord &Logged) {
  schema::ExpertMapState State;
  if (!State.ParseFromString(Logged.map()))
    return std::nullopt;
  GroupRecord Record;
  Record.m_Version = Logged.map_version();
  Record.m_FromStep = Logged.from_step();
  const std::optional<PlacedMap> Current = restore(State.current());
  if (!Current)
    return std::nullopt;
  Record.m_Current = *Current;
  if (State.has_previous()) {
    const std::optional<PlacedMap> Previous = restore(State.previous());
    if (!Previous)
      return std::nullopt;
    Record.m_Previous = *Previous;
  }
  Record.m_Incarnations.assign(State.incarnations().begin(),
                               State.incarnations().end());
  if (Record.m_Incarnations.size() != Record.m_Current.m_Map->m_Shape.m_Ranks)
    return std::nullopt;
  return Record;
}

} // namespace mangocart
