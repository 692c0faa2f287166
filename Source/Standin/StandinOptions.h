// Command line of mangocart-standin. docs/STANDIN.md has the long form.
#ifndef MANGOCART_STANDIN_STANDINOPTIONS_H
#define MANGOCART_STANDIN_STANDINOPTIONS_H

#include "Core/ExitCode.h"
#include "Core/RuntimeClock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace mangocart {

enum class StandinKind { Engine, Plain };

struct StandinOptions {
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 8080;
  StandinKind m_Kind = StandinKind::Engine;
  std::string m_Name = "standin";
  std::uint64_t m_Seed = 1;
  // Engine: until the first token. Plain: until a booking has run.
  Duration m_ServiceTime{0};
  Duration m_TokenInterval{0};
  std::size_t m_Slots = 64;
  // Age at which the figures of GET /load are renewed.
  Duration m_LoadLag = std::chrono::milliseconds(200);
  // Blocks of 16 bytes of prompts that an engine's prefix cache holds.
  std::size_t m_CacheBlocks = 4096;
  // Where runs of bookings are recorded; empty: nowhere.
  std::string m_RunLog;
  // Where orders that were carried out are recorded; empty: nowhere.
  std::string m_OrderLog;
  // Whether an order with an old fencing number is refused.
  bool m_CheckFencing = false;

  bool operator==(const StandinOptions &) const = default;
};

// Reads the command line; an exit code when the line alone decides. Help and
// version go to standard output, a usage error to standard error.
std::variant<StandinOptions, ExitCode>
parseStandinOptions(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
