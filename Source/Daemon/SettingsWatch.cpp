// Signal, timer and comparison of texts.
#include "Daemon/SettingsWatch.h"

#include "Settings/SettingsReader.h"

#include <csignal>

namespace mangocart {

namespace {

// A change without a signal is noticed within this time.
constexpr Duration LookInterval = std::chrono::seconds(2);

} // namespace

SettingsWatch::SettingsWatch(boost::asio::io_context &Worker, std::string File,
                             ChangeHandler OnChange)
    : m_File(std::move(File)), m_OnChange(std::move(OnChange)),
      m_Signal(Worker, SIGHUP), m_Timer(Worker) {}

void SettingsWatch::start() {
  if (auto Text = readTextFile(m_File))
    m_Text = std::move(Text).value();
  waitForSignal();
  waitForLook();
}

void SettingsWatch::waitForSignal() {
  m_Signal.async_wait([this](boost::system::error_code Error, int) {
    if (Error)
      return;
    look();
    waitForSignal();
  });
}

void SettingsWatch::waitForLook() {
  m_Timer.expires_after(LookInterval);
  m_Timer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    look();
    waitForLook();
  });
}

void SettingsWatch::look() {
  auto Text = readTextFile(m_File);
  // A file that is being replaced can be missing or empty for a moment.
  if (Text.has_error() || Text.value().empty() || Text.value() == m_Text)
    return;
  m_Text = std::move(Text).value();
  m_OnChange(m_Text);
}

} // namespace mangocart
