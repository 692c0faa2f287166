// The highest version is kept, regardless of the order of commands; orders to
// evacuate a zone have an effect only on the state that they expect.
#include "Log.pb.h"
#include "Voter/DocumentMachine.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

schema::DocumentReply put(DocumentMachine &M, std::uint64_t Version,
                          const std::string &Document) {
  schema::Command Command;
  Command.mutable_put_document()->set_version(Version);
  Command.mutable_put_document()->set_document(Document);
  schema::CommandReply Reply;
  Reply.ParseFromString(M.apply(1, Command.SerializeAsString()));
  return Reply.document();
}

schema::DocumentReply read(DocumentMachine &M) {
  schema::Command Command;
  Command.set_read_document(true);
  schema::CommandReply Reply;
  Reply.ParseFromString(M.apply(1, Command.SerializeAsString()));
  return Reply.document();
}

Evacuations order(DocumentMachine &M, const std::string &Zone, bool Withdraw,
                  std::uint64_t Expected) {
  schema::Command Command;
  Command.mutable_change_evacuation()->set_availability_zone(Zone);
  Command.mutable_change_evacuation()->set_withdraw(Withdraw);
  Command.mutable_change_evacuation()->set_expected_change(Expected);
  schema::CommandReply Reply;
  Reply.ParseFromString(M.apply(1, Command.SerializeAsString()));
  return evacuationsFromSchema(Reply.evacuations());
}

} // namespace

TEST_CASE("only a higher version replaces the document") {
  DocumentMachine M;
  int Changes = 0;
  M.onChange([&] { ++Changes; });
  CHECK(read(M).version() == 0);
  CHECK(put(M, 5, "five").version() == 5);
  CHECK(put(M, 3, "three").version() == 5);
  CHECK(put(M, 5, "another five").version() == 5);
  CHECK(read(M).document() == "five");
  CHECK(put(M, 9, "nine").version() == 9);
  CHECK(read(M).document() == "nine");
  CHECK(Changes == 2);
}

TEST_CASE("a snapshot restores the document unless it is older") {
  DocumentMachine From;
  put(From, 5, "five");
  DocumentMachine To;
  To.restore(From.snapshot());
  CHECK(*To.document() == VersionedDocument{5, "five"});
  put(To, 8, "eight");
  To.restore(From.snapshot());
  CHECK(*To.document() == VersionedDocument{8, "eight"});
  To.restore("");
  CHECK(To.document()->m_Version == 8);
}

TEST_CASE("invalid command bytes change nothing") {
  DocumentMachine M;
  put(M, 5, "five");
  M.apply(2, "\xff\xff\xff");
  CHECK(*M.document() == VersionedDocument{5, "five"});
}

TEST_CASE("orders take effect in the order of the log and are counted") {
  DocumentMachine M;
  int Changes = 0;
  M.onChange([&] { ++Changes; });
  CHECK(order(M, "a", false, 0) == Evacuations{1, {"a"}});
  CHECK(order(M, "b", false, 1) == Evacuations{2, {"a", "b"}});
  CHECK(order(M, "a", true, 2) == Evacuations{3, {"b"}});
  CHECK(Changes == 3);
  put(M, 5, "five");
  CHECK(M.evacuations() == Evacuations{3, {"b"}});
}

TEST_CASE("an order that is in effect changes nothing, whatever it expects") {
  DocumentMachine M;
  CHECK(order(M, "a", true, 0) == Evacuations{});
  order(M, "a", false, 0);
  int Changes = 0;
  M.onChange([&] { ++Changes; });
  CHECK(order(M, "a", false, 0) == Evacuations{1, {"a"}});
  CHECK(order(M, "a", false, 1) == Evacuations{1, {"a"}});
  CHECK(Changes == 0);
}

// The voter that proposed the first order gave up, and another one got it.
TEST_CASE("an order that is committed late doesn't undo a newer one") {
  DocumentMachine M;
  order(M, "a", false, 0);
  order(M, "a", true, 1);
  CHECK(order(M, "a", false, 0) == Evacuations{2, {}});
  CHECK(order(M, "a", false, EvacuationChange::NeverExpected) ==
        Evacuations{2, {}});
}

TEST_CASE("a snapshot restores the evacuations; an older program's has none") {
  DocumentMachine From;
  put(From, 5, "five");
  order(From, "a", false, 0);
  DocumentMachine To;
  To.restore(From.snapshot());
  CHECK(To.evacuations() == Evacuations{1, {"a"}});
  CHECK(order(To, "a", true, 1) == Evacuations{2, {}});
  schema::DocumentSnapshot Older;
  Older.set_version(7);
  DocumentMachine Restored;
  Restored.restore(Older.SerializeAsString());
  CHECK(Restored.document()->m_Version == 7);
  CHECK(Restored.evacuations() == Evacuations{});
}
