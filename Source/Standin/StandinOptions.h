// Command line options of mangocart-standin. docs/STANDIN.md describes them in
// detail.
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
  // Engine: time to the first token. Plain: processing time of a booking.
  Duration m_ServiceTime{0};
  Duration m_TokenInterval{0};
  std::size_t m_Slots = 64;
  // Sampling interval of the figures of GET /load.
  Duration m_LoadLag = std::chrono::milliseconds(200);
  // Capacity of an engine's prefix cache in blocks of 16 bytes.
  std::size_t m_CacheBlocks = 4096;
  // File to which executed bookings are logged; empty disables the log.
  std::string m_RunLog;
  // File to which executed orders are logged; empty disables the log.
  std::string m_OrderLog;
  // Whether an order with an outdated fencing number is rejected.
  bool m_CheckFencing = false;

  bool operator==(const StandinOptions &) const = default;
};

// Parses the command line. Returns an exit code if the program has nothing more
// to do: help and version are printed to standard output, usage errors to
// standard error.
std::variant<StandinOptions, ExitCode>
parseStandinOptions(int ArgumentCount, const char *const *Arguments);

} // namespace mangocart

#endif
