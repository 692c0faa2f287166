// Pattern: a configuration of 1,600 routes goes to 59 gateways and 192
// balancers three times a second. It must get much smaller, and a malformed
// frame must neither be taken for a document nor exhaust the memory.
#include "Core/Compression.h"

#include "Core/Random.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

constexpr std::size_t MaxBytes = std::size_t{1} << 20;

std::string configurationLike(std::size_t Routes) {
  Random Generator(3);
  std::string Text;
  for (std::size_t I = 0; I < Routes; ++I)
    Text += "{\"name\":\"r-" + std::to_string(uniform(Generator, 0, 1U << 30)) +
            "\",\"host\":\"a.example\",\"path_prefix\":\"/p" +
            std::to_string(I) + "/\",\"timeout_ms\":8000,\"priority\":1},";
  return Text;
}

} // namespace

TEST_CASE("compression: a document is restored") {
  for (const std::string &Text :
       {std::string(), std::string("x"), configurationLike(1600)})
    CHECK(decompress(compress(Text), MaxBytes) == Text);
}

TEST_CASE("compression: a configuration shrinks to a fifth or less") {
  const std::string Text = configurationLike(1600);
  CHECK(compress(Text).size() * 5 <= Text.size());
}

TEST_CASE("compression: malformed frames are rejected") {
  const std::string Frame = compress(configurationLike(100));
  CHECK_FALSE(decompress("", MaxBytes));
  CHECK_FALSE(decompress("no frame", MaxBytes));
  for (std::size_t Size = 0; Size < Frame.size(); Size += 7)
    CHECK_FALSE(decompress(Frame.substr(0, Size), MaxBytes));
  Random Generator(5);
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Changed = Frame;
    char &Byte = Changed[uniform(Generator, 0, Changed.size() - 1)];
    Byte = static_cast<char>(Byte + uniform(Generator, 1, 255));
    const auto Read = decompress(Changed, MaxBytes);
    CHECK((!Read || Read->size() <= MaxBytes));
  }
}

TEST_CASE("compression: a frame with a large content is rejected") {
  const std::string Frame = compress(std::string(MaxBytes + 1, 'x'));
  CHECK_FALSE(decompress(Frame, MaxBytes));
}
