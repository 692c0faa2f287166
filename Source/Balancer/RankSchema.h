// Conversion of reports and orders of ranks to and from messages between
// balancers.
#ifndef MANGOCART_BALANCER_RANKSCHEMA_H
#define MANGOCART_BALANCER_RANKSCHEMA_H

#include "Balancer.pb.h"
#include "Balancer/EngineProtocol.h"

namespace mangocart {

schema::RankReport toSchema(const RankState &State);
RankState fromSchema(const schema::RankReport &Report);
schema::RankOrder toSchema(const RankOrder &Order);
// Encodes the order's map as the difference to the base.
schema::RankOrder toSchema(const RankOrder &Order, const ExpertMap &Base);
RankOrder fromSchema(const schema::RankOrder &Order);

} // namespace mangocart

#endif
