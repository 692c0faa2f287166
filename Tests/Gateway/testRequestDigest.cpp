// Digests of requests. Guards against two requests of different callers or
// contents that are taken for the same one, and against one that isn't
// recognized when it comes again.
#include "Gateway/RequestDigest.h"

#include <catch2/catch.hpp>

#include <set>
#include <vector>

using namespace mangocart;

TEST_CASE("the same content has the same digest of 128 bits") {
  const RequestContent Content{"c", "POST", "h", "/a/b?q=1", "body"};
  CHECK(requestDigest(Content) == requestDigest(Content));
  CHECK(requestDigest(Content).size() == 32);
}

TEST_CASE("requests that differ in any part have different digests") {
  const std::vector<RequestContent> All = {
      {"c", "POST", "h", "/a", "body"},
      {"d", "POST", "h", "/a", "body"},
      {"", "POST", "h", "/a", "body"},
      {"c", "PUT", "h", "/a", "body"},
      {"c", "POST", "i", "/a", "body"},
      {"c", "POST", "h", "/a?", "body"},
      {"c", "POST", "h", "/a", "body "},
      {"c", "POST", "h", "/a", ""},
      // The same bytes, divided in another way.
      {"c", "POST", "h", "/abody", ""},
      {"c", "POST", "h/a", "", "body"},
      {"cPOST", "", "h", "/a", "body"},
      {"c", "POST", "h", "/abo", "dy"}};
  std::set<std::string> Digests;
  for (const RequestContent &Each : All)
    Digests.insert(requestDigest(Each));
  CHECK(Digests.size() == All.size());
}
