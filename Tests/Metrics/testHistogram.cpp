// Buckets by their upper bounds.
#include "Metrics/Histogram.h"
#include "Metrics/MetricRegistry.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("an observation counts in every bucket that it is not above") {
  Histogram H;
  for (const double Seconds : {0.001, 0.1, 0.39, 9.0})
    H.observe(Seconds);
  const std::string Text = H.expose("t_seconds", "");
  CHECK(H.count() == 4);
  CHECK(Text.find("t_seconds_bucket{le=\"0.005\"} 1\n") != std::string::npos);
  CHECK(Text.find("t_seconds_bucket{le=\"0.1\"} 2\n") != std::string::npos);
  CHECK(Text.find("t_seconds_bucket{le=\"0.4\"} 3\n") != std::string::npos);
  CHECK(Text.find("t_seconds_bucket{le=\"8\"} 3\n") != std::string::npos);
  CHECK(Text.find("t_seconds_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
  CHECK(Text.find("t_seconds_count 4\n") != std::string::npos);
}

TEST_CASE("a registry shows histograms with their labels") {
  MetricRegistry Registry;
  Registry.histogram("t_seconds", "Time.", {{"service", "desk"}}).observe(0.2);
  const std::string Text = Registry.expose(TimePoint());
  CHECK(Text.find("# TYPE t_seconds histogram\n") != std::string::npos);
  CHECK(Text.find("t_seconds_bucket{service=\"desk\",le=\"0.2\"} 1\n") !=
        std::string::npos);
  CHECK(Text.find("t_seconds_count{service=\"desk\"} 1\n") !=
        std::string::npos);
}
