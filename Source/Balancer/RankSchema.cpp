// Field by field; maps as a list of slots or as differences.
#include "Balancer/RankSchema.h"

#include "Balancer/KnownMaps.h"
#include "Experts/MapDelta.h"

namespace mangocart {

namespace {

schema::RankOrder::Kind toSchema(RankOrderKind Kind) {
  switch (Kind) {
  case RankOrderKind::Prepare:
    return schema::RankOrder::PREPARE;
  case RankOrderKind::Arm:
    return schema::RankOrder::ARM;
  case RankOrderKind::Disarm:
    return schema::RankOrder::DISARM;
  case RankOrderKind::Hold:
    return schema::RankOrder::HOLD;
  case RankOrderKind::Release:
    return schema::RankOrder::RELEASE;
  }
  return schema::RankOrder::KIND_UNSPECIFIED;
}

RankOrderKind fromSchema(schema::RankOrder::Kind Kind) {
  switch (Kind) {
  case schema::RankOrder::ARM:
    return RankOrderKind::Arm;
  case schema::RankOrder::DISARM:
    return RankOrderKind::Disarm;
  case schema::RankOrder::HOLD:
    return RankOrderKind::Hold;
  case schema::RankOrder::RELEASE:
    return RankOrderKind::Release;
  default:
    return RankOrderKind::Prepare;
  }
}

} // namespace

schema::RankReport toSchema(const RankState &State) {
  const RankReport &From = State.m_Report;
  schema::RankReport Out;
  Out.set_group(State.m_Group);
  Out.set_rank(State.m_Rank);
  Out.set_size(State.m_Size);
  Out.set_epoch(From.m_Epoch);
  Out.set_open(From.m_IsOpen);
  Out.set_sequence(From.m_Sequence);
  Out.set_busy(From.m_IsBusy);
  Out.set_pass(From.m_Pass);
  Out.set_map_version(From.m_MapVersion);
  Out.set_prepared(From.m_Prepared);
  Out.set_armed(From.m_Armed);
  Out.set_held_pass(From.m_HeldPass);
  Out.set_running(State.m_Running);
  Out.set_waiting(State.m_Waiting);
  Out.set_slowness(State.m_Slowness);
  return Out;
}

RankState fromSchema(const schema::RankReport &Report) {
  RankState State;
  State.m_Group = Report.group();
  State.m_Rank = Report.rank();
  State.m_Size = Report.size();
  State.m_Running = Report.running();
  State.m_Waiting = Report.waiting();
  State.m_Slowness = Report.slowness();
  RankReport &To = State.m_Report;
  To.m_Epoch = Report.epoch();
  To.m_IsOpen = Report.open();
  To.m_Sequence = Report.sequence();
  To.m_IsBusy = Report.busy();
  To.m_Pass = Report.pass();
  To.m_MapVersion = Report.map_version();
  To.m_Prepared = Report.prepared();
  To.m_Armed = Report.armed();
  To.m_HeldPass = Report.held_pass();
  return State;
}

schema::RankOrder toSchema(const RankOrder &Order) {
  schema::RankOrder Out;
  Out.set_kind(toSchema(Order.m_Kind));
  Out.set_version(Order.m_Version);
  Out.set_pass(Order.m_Pass);
  Out.set_epoch(Order.m_Epoch);
  Out.set_expected_sequence(Order.m_ExpectedSequence);
  if (!Order.m_Map)
    return Out;
  const GroupShape &Shape = Order.m_Map->m_Shape;
  Out.set_layers(Shape.m_Layers);
  Out.set_ranks(Shape.m_Ranks);
  Out.set_slots_per_rank(Shape.m_SlotsPerRank);
  Out.set_experts(Shape.m_Experts);
  for (const ExpertId Expert : Order.m_Map->m_Slots)
    Out.add_slots(Expert);
  return Out;
}

RankOrder fromSchema(const schema::RankOrder &Order) {
  RankOrder Out;
  Out.m_Kind = fromSchema(Order.kind());
  Out.m_Version = Order.version();
  Out.m_Pass = Order.pass();
  Out.m_Epoch = Order.epoch();
  Out.m_ExpectedSequence = Order.expected_sequence();
  if (Order.slots().empty() || Order.base() != 0)
    return Out;
  auto Map = std::make_shared<ExpertMap>();
  Map->m_Shape = {Order.ranks(), Order.experts(), Order.layers(),
                  Order.slots_per_rank()};
  for (const std::uint32_t Expert : Order.slots())
    Map->m_Slots.push_back(static_cast<ExpertId>(Expert));
  Out.m_Map = std::move(Map);
  return Out;
}

schema::RankOrder toSchema(const RankOrder &Order, const ExpertMap &Base) {
  RankOrder WithoutMap = Order;
  WithoutMap.m_Map = nullptr;
  schema::RankOrder Out = toSchema(WithoutMap);
  Out.set_base(hashOf(Base));
  const MapDelta Delta = mapDelta(Base, *Order.m_Map);
  Out.mutable_changed_positions()->Add(Delta.m_Positions.begin(),
                                       Delta.m_Positions.end());
  Out.mutable_slots()->Add(Delta.m_Experts.begin(), Delta.m_Experts.end());
  return Out;
}

} // namespace mangocart
