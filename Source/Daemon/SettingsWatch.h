// Notices that the settings file has changed: by SIGHUP, or by a look at its
// text now and then, because it may change without a signal.
#ifndef MANGOCART_DAEMON_SETTINGSWATCH_H
#define MANGOCART_DAEMON_SETTINGSWATCH_H

#include "Core/Timer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>

namespace mangocart {

class SettingsWatch {
public:
  // The handler runs on the worker, with the new text.
  using ChangeHandler = std::function<void(const std::string &Text)>;

  SettingsWatch(boost::asio::io_context &Worker, std::string File,
                ChangeHandler OnChange);

  // Reads the file for the first time.
  void start();

private:
  void waitForSignal();
  void waitForLook();
  void look();

  const std::string m_File;
  ChangeHandler m_OnChange;
  boost::asio::signal_set m_Signal;
  Timer m_Timer;
  std::string m_Text;
};

} // namespace mangocart

#endif
