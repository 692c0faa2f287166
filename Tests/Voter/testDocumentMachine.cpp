// The highest version is kept, regardless of the order of commands.
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
