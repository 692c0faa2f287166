// A voter that has started from its last snapshot, with a log that replies when
// the test says so. Guards against gateways that send requests to zones which
// were evacuated since that snapshot.
#include "Voter/CatchUpCheck.h"
#include "Voter/DocumentMachine.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

class ManualLog : public ReplicatedLog {
public:
  void propose(schema::Command, Duration, ProposeHandler Done) override {
    m_Pending = std::move(Done);
  }
  std::string leader() const override { return {}; }

  void reply(std::uint64_t Change) {
    schema::CommandReply Reply;
    Reply.mutable_evacuations()->set_change(Change);
    std::exchange(m_Pending, nullptr)(Reply);
  }
  void fail() {
    std::exchange(m_Pending, nullptr)(
        ProposeError{ProposeErrorCode::NoQuorum, "no leader"});
  }

  ProposeHandler m_Pending;
};

std::string evacuationOf(const std::string &Zone) {
  schema::Command Command;
  Command.mutable_change_evacuation()->set_availability_zone(Zone);
  return Command.SerializeAsString();
}

struct Fixture {
  explicit Fixture(const std::string &Stored = evacuationOf("a")) {
    RuntimeClock::pause();
    m_Machine.noteStored(Stored);
    m_Check->start();
  }
  ~Fixture() { RuntimeClock::resume(); }

  ManualLog m_Log;
  DocumentMachine m_Machine;
  int m_Progress = 0;
  std::shared_ptr<CatchUpCheck> m_Check = std::make_shared<CatchUpCheck>(
      m_Machine, m_Log, [this] { ++m_Progress; });
};

} // namespace

TEST_CASE("a voter has caught up when it has applied what a majority has "
          "committed") {
  Fixture F;
  CHECK_FALSE(F.m_Check->isCaughtUp());
  F.m_Log.fail();
  CHECK_FALSE(F.m_Check->isCaughtUp());
  F.m_Log.reply(1);
  CHECK_FALSE(F.m_Check->isCaughtUp());
  F.m_Machine.apply(1, evacuationOf("a"));
  CHECK(F.m_Check->isCaughtUp());
  CHECK(F.m_Progress == 1);
}

TEST_CASE("without a majority a voter serves its state after 5 s") {
  Fixture F;
  RuntimeClock::advance(4900ms);
  F.m_Log.fail();
  CHECK_FALSE(F.m_Check->isCaughtUp());
  RuntimeClock::advance(200ms);
  CHECK(F.m_Check->isCaughtUp());
  F.m_Log.fail();
  CHECK_FALSE(F.m_Log.m_Pending);
}

TEST_CASE("a voter without stored evacuations waits for no leader") {
  schema::Command Document;
  Document.mutable_put_document()->set_version(7);
  for (const std::string &Stored :
       {Document.SerializeAsString(), evacuationOf(""), std::string("torn")}) {
    Fixture F(Stored);
    CHECK(F.m_Check->isCaughtUp());
    CHECK_FALSE(F.m_Log.m_Pending);
  }
}
