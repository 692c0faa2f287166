// Exposition text, bounds on series, programming errors, counts from threads.
#include "Metrics/MetricRegistry.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace mangocart;

TEST_CASE("the exposition has help, type, escaped labels and values") {
  MetricRegistry Registry;
  Registry
      .counter("mangocart_requests_total", "Requests.\nAll.",
               {{"service", "a\"b\\c\n"}, {"code", "200"}})
      .add(3);
  Registry.gauge("mangocart_queue_depth", "Depth.").set(1.5);
  QuantileSummary &Delay =
      Registry.summary("mangocart_delay_seconds", "Delay.");
  CHECK(Registry.expose(TimePoint()) ==
        "# HELP mangocart_delay_seconds Delay.\n"
        "# TYPE mangocart_delay_seconds summary\n"
        "mangocart_delay_seconds{quantile=\"0.5\"} NaN\n"
        "mangocart_delay_seconds{quantile=\"0.95\"} NaN\n"
        "mangocart_delay_seconds{quantile=\"0.99\"} NaN\n"
        "mangocart_delay_seconds_sum 0\n"
        "mangocart_delay_seconds_count 0\n"
        "# HELP mangocart_queue_depth Depth.\n"
        "# TYPE mangocart_queue_depth gauge\n"
        "mangocart_queue_depth 1.5\n"
        "# HELP mangocart_requests_total Requests.\\nAll.\n"
        "# TYPE mangocart_requests_total counter\n"
        "mangocart_requests_total{code=\"200\",service=\"a\\\"b\\\\c\\n\"} "
        "3\n");
  Delay.observe(0.25, TimePoint());
  CHECK(Registry.expose(TimePoint()).find("_count 1") != std::string::npos);
}

TEST_CASE("a value kept elsewhere is read at each exposition") {
  MetricRegistry Registry;
  std::uint64_t Sent = 18446744073709551615U;
  Registry.counterFrom("sent_total", "Sent.", [&] { return Sent; });
  Registry.gaugeFrom("load", "Load.", [&] { return Sent == 0 ? 0.5 : 2.0; });
  CHECK(Registry.expose(TimePoint()) == "# HELP load Load.\n"
                                        "# TYPE load gauge\n"
                                        "load 2\n"
                                        "# HELP sent_total Sent.\n"
                                        "# TYPE sent_total counter\n"
                                        "sent_total 18446744073709551615\n");
  Sent = 0;
  CHECK(Registry.expose(TimePoint()).find("load 0.5\n") != std::string::npos);
  CHECK_THROWS(Registry.counter("sent_total", ""));
  CHECK_THROWS(Registry.gaugeFrom("load", "", [] { return 1.0; }));
}

TEST_CASE("label order doesn't make another series") {
  MetricRegistry Registry;
  CHECK(&Registry.counter("a", "", {{"x", "1"}, {"y", "2"}}) ==
        &Registry.counter("a", "", {{"y", "2"}, {"x", "1"}}));
}

TEST_CASE("values beyond the limits are folded into other") {
  MetricRegistry Registry({2, 3});
  const auto Customer = [&](const char *Name) {
    return &Registry.counter("a", "", {{"customer", Name}});
  };
  Counter *First = Customer("one");
  Customer("two");
  CHECK(Customer("three") == Customer("four"));
  CHECK(Customer("three") == Customer("other"));
  CHECK(Customer("one") == First);

  for (int Index = 0; Index < 100; ++Index)
    Registry.gauge(
        "b", "",
        {{"x", std::to_string(Index % 7)}, {"y", std::to_string(Index)}});
  std::size_t Series = 0;
  const std::string Text = Registry.expose(TimePoint());
  for (auto At = Text.find("\nb{"); At != std::string::npos;
       At = Text.find("\nb{", At + 1))
    ++Series;
  // The limit and the one series that stands for the rest.
  CHECK(Series <= 4);
}

TEST_CASE("wrong names and types are programming errors") {
  MetricRegistry Registry;
  Registry.counter("a", "");
  CHECK_THROWS_WITH(Registry.gauge("a", ""),
                    "metric \"a\" is a counter, not a gauge");
  CHECK_THROWS_WITH(Registry.gauge("9", ""),
                    "metric or label \"9\": expected a name of a-z, 0-9 and _");
  CHECK_THROWS(Registry.gauge("b", "", {{"X-y", "1"}}));
}

TEST_CASE("no count from any thread is lost") {
  MetricRegistry Registry;
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int Index = 0; Index < 4; ++Index)
    Threads.emplace_back([&] {
      for (int Round = 0; Round < 10000; ++Round) {
        Registry.counter("a", "").add();
        Registry.summary("b", "").observe(1.0, TimePoint());
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  CHECK(Registry.counter("a", "").value() == 40000);
  CHECK(Registry.summary("b", "").snapshot({}, TimePoint()).m_WindowCount ==
        40000);
}
